/** @file main.cpp review_world: plays a case of the review with processes of glade_node and stand-ins on loopback. */
#include "scenarios.h"

#include "net/epoll_dispatcher.h"
#include "program/logging.h"

#include <QCoreApplication>

#include <cstdlib>
#include <filesystem>
#include <iostream>

int main(int argc, char **argv)
{
	const QCoreApplication app(argc, argv);
	if (argc != 5) {
		std::cerr << "usage: review_world SCENARIO NODE-PROGRAM FOLDER RECORD\n";
		return 2;
	}
	PlayOptions options{argv[2], argv[3], argv[4], true};
	const char *trouble = std::getenv("TROUBLE");
	options.trouble = trouble == nullptr || std::string(trouble) != "0";
	std::filesystem::create_directories(options.folder);
	SetUpLogging("review_world", "warning");
	World world(options);
	world.record.Write("review",
					   std::string("scenario ") + argv[1] + (options.trouble ? "" : ", without the disruption"));
	if (!Play(world, argv[1])) {
		std::cerr << "no such scenario\n";
		return 2;
	}
	world.After(Millis(110000), [&world] { world.End(2, "the play took too long"); });
	return QCoreApplication::exec();
}
