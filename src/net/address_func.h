/** @file address_func.h IP addresses with ports, as settings and records write them. */
#ifndef ADDRESS_FUNC_H
#define ADDRESS_FUNC_H

#include <QHostAddress>

#include <optional>
#include <string>

/** An IP address and a port. */
struct NetAddress {
	QHostAddress ip;  ///< IP number; names are not resolved.
	quint16 port = 0; ///< Port; 0 lets the system choose when listening.

	/** @return IP:port. */
	[[nodiscard]] std::string Text() const;
};

/**
 * Reads IP:port, or [IPv6]:port.
 * @param text The text.
 * @return The address, or nothing.
 */
std::optional<NetAddress> ParseAddress(const std::string &text);

#endif /* ADDRESS_FUNC_H */
