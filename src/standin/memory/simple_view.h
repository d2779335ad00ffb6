/** @file simple_view.h Views and credentials for tests and benches that need no fleet behind them. */
#ifndef SIMPLE_VIEW_H
#define SIMPLE_VIEW_H

#include "../../request/request_path.h"

#include <string>
#include <vector>

/** What a simple view shows: one pool "p" in one zone "z". */
struct SimpleViewSpec {
	uint64_t version = 1;                       ///< Version, offset and membership changes.
	uint32_t endpoints = 1;                     ///< Endpoints, "box-0" and so on.
	uint32_t slots = 8;                         ///< Slots of each.
	std::string address;                        ///< Address of all; empty for their numbers.
	std::vector<std::string> services = {"s"};  ///< Services; their place is their class, when there are several.
	std::vector<std::string> peers = {"entry"}; ///< Entries.
};

/**
 * @param spec What it shows.
 * @return A whole view with its hash.
 */
glade::wire::ViewT SimpleView(const SimpleViewSpec &spec);

/** Everybody may call, as one tenant. */
class AnyCaller : public CredentialStore {
public:
	AnyCaller() { this->one.account = AccountName("t"); }
	[[nodiscard]] const Credential *Find(const std::string *) const override { return &this->one; }

private:
	Credential one; ///< The one credential.
};

#endif /* SIMPLE_VIEW_H */
