/** @file accept_func.h Listening sockets that bear a shortage of descriptors and crowds of new connections. */
#ifndef ACCEPT_FUNC_H
#define ACCEPT_FUNC_H

#include "address_func.h"

#include <QTcpServer>

/** Options of a listening socket; accepted sockets inherit the sizes of the buffers. */
struct ListenOptions {
	int backlog = 256;      ///< Connections that wait to be accepted; the kernel drops the first packet of others.
	int receive_buffer = 0; ///< Bytes received that the kernel keeps for each connection; 0 for its default.
	int send_buffer = 0;    ///< Bytes to be sent that the kernel keeps for each connection; 0 for its default.
};

/**
 * Lets a server accept connections again after an accept has failed, for want of descriptors for instance: Qt pauses it
 * for good then.
 * @param server The server; outlives the connection made here.
 */
void ResumeAfterAcceptErrors(QTcpServer &server);

/**
 * Starts listening.
 * @param server The server.
 * @param address Address to listen on.
 * @param options Options of the socket.
 * @return Whether it succeeded.
 */
bool ListenOn(QTcpServer &server, const NetAddress &address, const ListenOptions &options);

#endif /* ACCEPT_FUNC_H */
