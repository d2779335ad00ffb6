/** @file main.cpp Test runner. */
#define DOCTEST_CONFIG_IMPLEMENT
#include "program/program.h"

#include <doctest/doctest.h>

#include <QCoreApplication>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>

namespace {

constexpr std::string_view SEPARATOR = " | "; ///< Separates the fields of a line in the list of known failures.

/**
 * Excludes the tests listed as known failures, and prints each. The file is named by the environment variable
 * GLADE_KNOWN_RED; its lines have the form "test | cause | issue".
 * @param context The doctest context that gets the filters.
 * @return Whether all lines are well-formed. A line without a separator or with a wildcard could exclude other tests.
 */
bool ExcludeKnownFailures(doctest::Context &context)
{
	const char *path = std::getenv("GLADE_KNOWN_RED");
	std::ifstream file(path == nullptr ? "" : path);
	for (std::string line; std::getline(file, line);) {
		const size_t end = line.find(SEPARATOR);
		if (end == 0 || end == std::string::npos || line.find('*') < end) {
			std::cout << "malformed line in the list of known failures: " << line << "\n";
			return false;
		}
		std::cout << "known failure, skipped: " << line << "\n";
		context.addFilter("test-case-exclude", line.substr(0, end).c_str());
	}
	return true;
}

} // namespace

int main(int argc, char **argv)
{
	UseEpollEventLoop();
	QCoreApplication app(argc, argv);
	doctest::Context context(argc, argv);
	return ExcludeKnownFailures(context) ? context.run() : EXIT_FAILURE;
}
