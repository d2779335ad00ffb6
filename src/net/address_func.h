/** @file address_func.h IP addresses with ports, as written in settings and records. */
#ifndef ADDRESS_FUNC_H
#define ADDRESS_FUNC_H

#include <QHostAddress>

#include <optional>
#include <string>

/** An IP address and a port. */
struct NetAddress {
	QHostAddress ip;  ///< IP address; host names are not resolved.
	quint16 port = 0; ///< Port; 0 lets the system choose one when listening.

	/** @return "IP:port", or "[IPv6]:port". */
	[[nodiscard]] std::string Text() const;
};

/**
 * Parses "IP:port" or "[IPv6]:port".
 * @param text The text.
 * @return The address, or nothing if the text is not valid.
 */
std::optional<NetAddress> ParseAddress(const std::string &text);

/**
 * Parses the address of another process, as that or a third one states it.
 * @param text "IP:port", exactly as Text() writes it.
 * @return The address, or nothing if no connection to it can be established: it is no address of a single IPv4 host, or
 * has no port.
 */
std::optional<NetAddress> ParsePeerAddress(const std::string &text);

#endif /* ADDRESS_FUNC_H */
