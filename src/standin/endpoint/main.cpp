/** @file main.cpp standin_endpoint: a small endpoint with slots and fault injection for tests, benches and the tour. */
#include "../../net/caller_link.h"
#include "../../program/program.h"
#include "../../program/settings_tables.h"
#include "endpoint_standin.h"

int main(int argc, char **argv)
{
	const ProgramSpec spec = {"standin_endpoint", "a stand-in for an endpoint", EndpointStandinSettings(),
							  [](const Settings &settings) -> std::unique_ptr<Server> {
								  return std::make_unique<EndpointStandin>(settings);
							  }};
	return RunProgram(argc, argv, spec);
}
