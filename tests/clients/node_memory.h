/** @file node_memory.h Memory that a process and its sockets use. */
#ifndef NODE_MEMORY_H
#define NODE_MEMORY_H

#include <QtGlobal>

#include <cstdint>
#include <map>
#include <sys/types.h>

/** @return Resident memory of a process in bytes; 0 if it doesn't run. @param process Its id. */
uint64_t ResidentBytes(pid_t process);

/** @return Bytes in the queues of the sockets of all connections, in both directions, by local port: bytes received
 * and not read, and bytes written and not acknowledged. */
std::map<quint16, uint64_t> QueuedBytes();

#endif /* NODE_MEMORY_H */
