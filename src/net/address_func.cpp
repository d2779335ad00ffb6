/** @file address_func.cpp IP addresses with ports. */
#include "address_func.h"

#include <QString>

std::string NetAddress::Text() const
{
	const std::string host = this->ip.toString().toStdString();
	const bool ipv6 = this->ip.protocol() == QAbstractSocket::IPv6Protocol;
	return (ipv6 ? "[" + host + "]" : host) + ":" + std::to_string(this->port);
}

std::optional<NetAddress> ParseAddress(const std::string &text)
{
	const size_t colon = text.rfind(':');
	if (colon == std::string::npos) {
		return std::nullopt;
	}
	std::string host = text.substr(0, colon);
	if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
		host = host.substr(1, host.size() - 2);
	}
	bool ok = false;
	NetAddress address;
	address.port = QString::fromStdString(text.substr(colon + 1)).toUShort(&ok);
	if (!ok || !address.ip.setAddress(QString::fromStdString(host))) {
		return std::nullopt;
	}
	return address;
}

std::optional<NetAddress> ParsePeerAddress(const std::string &text)
{
	const std::optional<NetAddress> address = ParseAddress(text);
	if (!address || address->port == 0 || address->Text() != text) {
		return std::nullopt;
	}
	const QHostAddress &ip = address->ip;
	const bool single_host = ip.protocol() == QAbstractSocket::IPv4Protocol && !ip.isMulticast() && !ip.isBroadcast() &&
							 ip != QHostAddress(QHostAddress::AnyIPv4);
	return single_host ? address : std::nullopt;
}
