/** @file golden.h Golden files of whole sessions: compared as text, rewritten with GLADE_GOLDEN=write. */
#ifndef GOLDEN_H
#define GOLDEN_H

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

/**
 * Reads a golden file, after writing it when GLADE_GOLDEN is "write".
 * @param name Its name.
 * @param text What was seen.
 * @return What the file holds.
 */
inline std::string GoldenText(const std::string &name, const std::string &text)
{
	const std::string file = std::string(GLADE_TEST_DIR) + "/golden/" + name + ".txt";
	const char *mode = std::getenv("GLADE_GOLDEN");
	if (mode != nullptr && std::string(mode) == "write") {
		std::ofstream(file) << text;
	}
	std::ostringstream out;
	out << std::ifstream(file).rdbuf();
	return out.str();
}

/** Compares what was seen with a golden file. */
#define CHECK_GOLDEN(name, text) CHECK(GoldenText(name, text) == (text))

#endif /* GOLDEN_H */
