/** @file commands.h The commands of `glade`. */
#ifndef COMMANDS_H
#define COMMANDS_H

#include "../program/program.h"

/**
 * Runs the command given on the command line and prints its result.
 * @param args The parsed command line.
 * @return Exit code.
 */
ExitCode RunCommandLine(const ParsedArguments &args);

#endif /* COMMANDS_H */
