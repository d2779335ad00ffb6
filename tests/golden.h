/** @file golden.h Golden files of complete sessions: compared as text, updated with GLADE_GOLDEN=write. */
#ifndef GOLDEN_H
#define GOLDEN_H

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

/**
 * Reads a file of the source tree. If the environment variable GLADE_GOLDEN is "write", writes the text to it first.
 * @param file The path, relative to the tests directory.
 * @param text The content to write.
 * @return The content of the file.
 */
inline std::string ReadOrUpdateFile(const std::string &file, const std::string &text)
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

/** Checks that a text equals the golden file of the given name. */
#define CHECK_GOLDEN(name, text) CHECK(ReadOrUpdateFile(std::string("golden/") + (name) + ".txt", text) == (text))

#endif /* GOLDEN_H */
