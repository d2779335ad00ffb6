/** @file main.cpp standin_platform: a stand-in for the platform, for tests, benches and the tour. */
#include "../../program/settings_tables.h"
#include "platform_standin.h"

int main(int argc, char **argv)
{
	const ProgramSpec spec = {"standin_platform", "a stand-in for the platform: log, list of boxes, control",
							  PlatformStandinSettings(), [](const Settings &settings) -> std::unique_ptr<Server> {
								  return std::make_unique<PlatformStandin>(settings);
							  }};
	return RunProgram(argc, argv, spec);
}
