/** @file main.cpp glade_entry: forwards callers' requests to endpoints. */
#include "../program/settings_tables.h"
#include "entry_server.h"

int main(int argc, char **argv)
{
	const ProgramSpec spec = {"glade_entry", "carries callers' requests to endpoints", EntrySettings(),
							  [](const Settings &settings) -> std::unique_ptr<Server> {
								  return std::make_unique<EntryServer>(settings);
							  }};
	return RunProgram(argc, argv, spec);
}
