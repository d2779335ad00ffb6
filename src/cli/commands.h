/** @file commands.h The commands of `glade`. */
#ifndef COMMANDS_H
#define COMMANDS_H

#include "../program/program.h"

/**
 * Runs what the command line asks for and prints the result.
 * @param args The command line.
 * @return Exit code.
 */
ExitCode RunCommandLine(const ParsedArguments &args);

#endif /* COMMANDS_H */
