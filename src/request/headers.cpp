/** @file headers.cpp Header fields of messages. */
#include "request_type.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace {

constexpr std::array<std::string_view, 10> _hop_by_hop = {"Connection",
														  "Keep-Alive",
														  "Proxy-Authenticate",
														  "Proxy-Authorization",
														  "Proxy-Connection",
														  "TE",
														  "Trailer",
														  "Transfer-Encoding",
														  "Upgrade",
														  "Content-Length"};

/** @return The character in lower case; only ASCII letters change. */
char ToLower(char c)
{
	return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b)
{
	return std::ranges::equal(a, b, {}, ToLower, ToLower);
}

const std::string *HeaderList::Find(std::string_view name) const
{
	const auto it =
			std::ranges::find_if(this->fields, [&](const HeaderField &f) { return EqualsIgnoreCase(f.name, name); });
	return it == this->fields.end() ? nullptr : &it->value;
}

void HeaderList::Add(std::string name, std::string value)
{
	this->fields.push_back(HeaderField{std::move(name), std::move(value)});
}

void HeaderList::Remove(std::string_view name)
{
	std::erase_if(this->fields, [&](const HeaderField &f) { return EqualsIgnoreCase(f.name, name); });
}

void HeaderList::RemoveHopByHop()
{
	std::vector<std::string> named;
	for (const HeaderField &field : this->fields) {
		if (!EqualsIgnoreCase(field.name, "Connection")) {
			continue;
		}
		std::istringstream in(field.value);
		std::string token;
		while (std::getline(in, token, ',')) {
			std::erase(token, ' ');
			named.push_back(token);
		}
	}
	for (const std::string &name : named) {
		this->Remove(name);
	}
	for (const std::string_view name : _hop_by_hop) {
		this->Remove(name);
	}
}
