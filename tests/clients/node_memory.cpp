/** @file node_memory.cpp Memory that a process and its sockets use. */
#include "node_memory.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

uint64_t ResidentBytes(pid_t process)
{
	std::ifstream in("/proc/" + std::to_string(process) + "/statm");
	uint64_t size = 0;
	uint64_t resident = 0;
	in >> size >> resident;
	return resident * static_cast<uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::map<quint16, uint64_t> QueuedBytes()
{
	constexpr int FIELDS = 3; ///< Local port, bytes to send, bytes received.
	std::map<quint16, uint64_t> bytes;
	std::ifstream in("/proc/net/tcp");
	for (std::string line; std::getline(in, line);) {
		unsigned port = 0;
		unsigned sending = 0;
		unsigned received = 0;
		/* Local address, remote address, state, queues; a listening socket (0A) has connections in its queue. */
		if (std::sscanf(line.c_str(), " %*d: %*8x:%x %*x:%*x %*x %x:%x", &port, &sending, &received) == FIELDS &&
			line.find(" 0A ") == std::string::npos) {
			bytes[static_cast<quint16>(port)] += uint64_t{sending} + received;
		}
	}
	return bytes;
}
