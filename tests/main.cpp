/** @file main.cpp Runs all tests. */
#define DOCTEST_CONFIG_IMPLEMENT
#include "program/program.h"

#include <doctest/doctest.h>

#include <QCoreApplication>

int main(int argc, char **argv)
{
	UseFastEventLoop();
	QCoreApplication app(argc, argv);
	return doctest::Context(argc, argv).run();
}
