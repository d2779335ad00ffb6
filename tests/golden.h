/** @file golden.h Golden files of whole sessions: compared as text, rewritten with GLADE_GOLDEN=write. */
#ifndef GOLDEN_H
#define GOLDEN_H

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

/**
 * Reads a file of the tree, after writing it when GLADE_GOLDEN is "write".
 * @param file Its path, from the folder of the tests.
 * @param text What it should hold.
 * @return What it holds.
 */
inline std::string TreeText(const std::string &file, const std::string &text)
{
	const std::string path = std::string(GLADE_TEST_DIR) + "/" + file;
	const char *mode = std::getenv("GLADE_GOLDEN");
	if (mode != nullptr && std::string(mode) == "write") {
		std::ofstream(path) << text;
	}
	std::ostringstream out;
	out << std::ifstream(path).rdbuf();
	return out.str();
}

/** Compares what was seen with a golden file. */
#define CHECK_GOLDEN(name, text) CHECK(TreeText(std::string("golden/") + (name) + ".txt", text) == (text))

#endif /* GOLDEN_H */
