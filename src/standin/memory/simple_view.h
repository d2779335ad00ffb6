/** @file simple_view.h Views and credentials for tests and benches that run without a fleet. */
#ifndef SIMPLE_VIEW_H
#define SIMPLE_VIEW_H

#include "../../request/request_path.h"

#include <string>
#include <vector>

/** Contents of a simple view, which has one pool "p" in one zone "z". */
struct SimpleViewSpec {
	uint64_t version = 1;   ///< Version of the view; also its offset and number of membership changes.
	uint32_t endpoints = 1; ///< Number of endpoints, named "box-0" and so on.
	uint32_t slots = 8;     ///< Slots of each endpoint.
	std::string address;    ///< Address of all endpoints; empty for their numbers.
	std::vector<std::string> services = {"s"};  ///< Services; with several, the index is the work class.
	std::vector<std::string> peers = {"entry"}; ///< Names of the entries.
};

/**
 * @param spec Contents of the view.
 * @return A complete view with its hash.
 */
glade::wire::ViewT SimpleView(const SimpleViewSpec &spec);

/** Accepts every caller, all under one account. */
class AnyCaller : public CredentialStore {
public:
	AnyCaller() { this->one.account = AccountName("t"); }
	[[nodiscard]] const Credential *Find(const std::string *) const override { return &this->one; }

private:
	Credential one; ///< Credential of all callers.
};

#endif /* SIMPLE_VIEW_H */
