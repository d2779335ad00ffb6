/** @file main.cpp glade_keeper: reads the platform's log, serves its zone, plans its region. */
#include "../program/settings_tables.h"
#include "keeper_server.h"

int main(int argc, char **argv)
{
	const ProgramSpec spec = {"glade_keeper",
							  "reads the platform's log, serves its availability zone, plans its region",
							  KeeperSettings(), [](const Settings &settings) -> std::unique_ptr<Server> {
								  return std::make_unique<KeeperServer>(settings);
							  }};
	return RunProgram(argc, argv, spec);
}
