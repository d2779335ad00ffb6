/** @file main.cpp glade: the command line tool of operators. */
#include "commands.h"

#include <QCoreApplication>

namespace {

constexpr const char *USAGE = R"(glade: the operators' command of glademount

Usage:
  glade table check FILE [options]
  glade table diff FILE [options]
  glade table publish FILE [--base VERSION] [options]
  glade table show [options]
  glade table history [options]
  glade (boxes|pools|waves|budgets|jobs|members|services) [options]
  glade explain NAME [options]
  glade ask ID [options]
  glade quota TEAM UNITS [options]
  glade job submit NAME --team TEAM [--class CLASS] [--units N] [--once] [options]
  glade job cancel NAME... [options]
  glade box (restore|withdraw) BOX [options]
  glade dump ADDRESS [options]
  glade (-h | --help)
  glade --version

Options:
  --keeper ADDRESSES  Keepers, IP:port, separated by commas [default: 127.0.0.1:7101].
  --json              Print JSON, for scripts.
  --wait SECONDS      Longest wait for an answer [default: 8].
  --base VERSION      Version of the table that FILE was edited from; the table in force when not given.
  --team TEAM         Team whose quota the job uses.
  --class CLASS       urgent, normal or batch [default: batch].
  --units N           Size of the job in units [default: 1].
  --once              The job may not be run twice.
  -h --help           Show this.
  --version           Show the version.

Exit codes: 0 done, 1 refused or failed, 2 wrong command line, 4 no keeper answered, 5 outcome unknown: ask again.
)";

} // namespace

int main(int argc, char **argv)
{
	ParsedArguments args;
	if (const std::optional<int> exit_code = ParseArguments(USAGE, "glade", argc, argv, args); exit_code) {
		return *exit_code;
	}
	QCoreApplication app(argc, argv);
	return static_cast<int>(RunCommandLine(args));
}
