/** @file share_ledger.h Lends the parts of accounts' maxima to services, by turns as their queues rise. Pure. */
#ifndef SHARE_LEDGER_H
#define SHARE_LEDGER_H

#include "../store/keyed_log.h"
#include "share_type.h"

#include <map>
#include <optional>

/**
 * One owner's ledger. What a service may use rises only after that was recorded, and is lent to another one only after
 * the service's owner has said that it holds less; so the sum never exceeds the whole, whoever is killed or cut off. A
 * service whose owner is away keeps what it holds: the runs there go on, and its next owner tells.
 */
class ShareLedger {
public:
	/** @return Whether a record's key is one of these. @param key The key. */
	static bool IsLedgerKey(const std::string &key);
	/** Takes over a record of an earlier owner; of two records of an account, the higher parts count. @param key Its
	 * key. @param value Its value. @return Whether it could be read. */
	bool Restore(const std::string &key, const std::string &value);
	/** Begins, with the records taken over. @param epoch Epoch of this owner. */
	void Begin(uint64_t epoch) { this->epoch = epoch; }
	/** Takes the services that there are. @param names Their names. */
	void Configure(std::vector<ServiceName> names) { this->services = std::move(names); }

	/** Takes what a service's owner says. What was said before the newest grants were taken lowers nothing. @param
	 * service The service. @param report It. */
	void ApplyReport(const ServiceName &service, const ShareReport &report);
	/** Decides anew who may use what. @return What is to be recorded before Commit(). */
	std::vector<KeyedRecord> Decide();
	/** What was decided is recorded: from now on it is lent. */
	void Commit();
	/** @return What a service is lent, for its owner: what it hasn't taken yet. @param service The service. */
	[[nodiscard]] ShareLoan LoanOf(const ServiceName &service) const;

	/** @return Parts of an account that are lent or may be in use, all services together. @param account The account.
	 */
	[[nodiscard]] uint64_t Lent(const AccountName &account) const;

private:
	/** A service's part of an account. */
	struct Row {
		uint32_t held = 0;      ///< Counted as in use there.
		uint32_t stated = 0;    ///< Held, as its owner has said last.
		uint32_t want = 0;      ///< Wanted, as its owner has said last.
		uint32_t decided = 0;   ///< To be lent once recorded.
		uint32_t lent = 0;      ///< Lent.
		uint32_t taken = 0;     ///< Lent, as its owner has taken it.
		bool told_over = false; ///< Whether its owner has last heard that the account is over its maximum.
	};
	/** An account's rows. */
	using Rows = std::map<ServiceName, Row>;
	/** What is known of a service's owner. */
	struct Owner {
		uint64_t epoch = 0;  ///< Highest epoch heard.
		uint64_t config = 0; ///< Version of the configuration by which it has last reckoned.
	};

	uint64_t epoch = 0;                   ///< Of this owner.
	uint64_t sequence = 1;                ///< Of the newest grants.
	std::map<AccountName, Rows> accounts; ///< By account.
	std::map<ServiceName, Owner> owners;  ///< By service.
	std::vector<ServiceName> services;    ///< All services.

	bool Share(Rows &rows);
	[[nodiscard]] static uint64_t HeldOf(const Rows &rows);
	[[nodiscard]] uint64_t ConfigOfAll() const;
};

#endif /* SHARE_LEDGER_H */
