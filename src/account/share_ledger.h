/** @file share_ledger.h Lends parts of the accounts' maxima to services, according to their demand. No I/O.
 * share_type.h defines the terms. */
#ifndef SHARE_LEDGER_H
#define SHARE_LEDGER_H

#include "../store/keyed_log.h"
#include "share_type.h"

#include <map>
#include <optional>

/**
 * Ledger of the parts lent, kept by one owner. The parts of a service are raised only after that was recorded, and are
 * lent to another service only after the service's owner has reported that it holds fewer. So the sum never exceeds the
 * maximum, whichever node crashes or is unreachable. A service without a live owner keeps the parts that it holds, as
 * its runs go on; its next owner reports on them.
 */
class ShareLedger {
public:
	/** @return Whether a record belongs to the ledger. @param key Key of the record. */
	static bool IsLedgerKey(const std::string &key);
	/** Restores a record of an earlier owner. When an account has two records, the higher number of parts of each
	 * service counts. @param key Key of the record. @param value Value of the record. @return Whether it could be
	 * decoded. */
	bool Restore(const std::string &key, const std::string &value);
	/** Starts lending, once the records are restored. @param epoch Epoch of this owner. */
	void Begin(uint64_t epoch) { this->epoch = epoch; }
	/** Sets the services. @param names Names of all services. */
	void Configure(std::vector<ServiceName> names) { this->services = std::move(names); }

	/** Applies the report of a service's owner. A report made before its sender had the newest grants only updates the
	 * demand, and lowers no number of held parts. @param service Name of the service. @param report The report. */
	void ApplyReport(const ServiceName &service, const ShareReport &report);
	/** Recomputes the parts of all services. @return Records to be written before Commit(). */
	std::vector<KeyedRecord> Decide();
	/** Lends the parts decided; to be called once the records of Decide() are durable. */
	void Commit();
	/** @return Grants that a service's owner has not applied yet. @param service Name of the service. */
	[[nodiscard]] ShareLoan LoanOf(const ServiceName &service) const;

	/** @return Parts of an account that count as in use, at all services together: those in use, and those that were
	 * granted or are about to be. @param account Name of the account. */
	[[nodiscard]] uint64_t PartsHeld(const AccountName &account) const;

private:
	/**
	 * Parts of an account at one service, beyond the fixed parts.
	 *
	 * - ApplyReport() sets `want`. If the reporting owner has the newest grants, it also sets `held` and
	 *   `reported_held` to the parts reported, and `applied` to `lent`.
	 * - Decide() sets `decided`, and raises `held` to it. If `decided` is lower, `held` stays until the next report.
	 * - Commit() sets `lent` to `decided`, once the records are durable.
	 * - LoanOf() grants `lent`, as long as it differs from `applied` or `reported_held`.
	 */
	struct Row {
		uint32_t held = 0;          ///< Counted as in use: not to be lent to other services.
		uint32_t reported_held = 0; ///< Held, by the last report made with the newest grants.
		uint32_t want = 0;          ///< Wanted, by the last report.
		uint32_t decided = 0;       ///< To be lent by the next Commit().
		uint32_t lent = 0;          ///< Lent, by the newest grant.
		uint32_t applied = 0;       ///< Lent, by the newest grant that the service's owner has applied.
		/** Whether the account was over its maximum when the service's owner last reported with the newest grants: the
		 * owner gets a grant once more when it no longer is. */
		bool over_acknowledged = false;
	};
	/** Rows of an account, by service. */
	using Rows = std::map<ServiceName, Row>;
	/** State of a service's owner. */
	struct Owner {
		uint64_t epoch = 0;  ///< Highest epoch reported.
		uint64_t config = 0; ///< Configuration version of its last report.
	};

	uint64_t epoch = 0;                   ///< Epoch of this owner.
	uint64_t sequence = 1;                ///< Sequence number of the newest grants.
	std::map<AccountName, Rows> accounts; ///< Rows by account.
	std::map<ServiceName, Owner> owners;  ///< Owners by service.
	std::vector<ServiceName> services;    ///< Names of all services.

	/** Sets the `decided` parts of all rows of an account. @param rows Rows of the account. @return Whether the held
	 * parts of a row were raised, which must be recorded before they are lent. */
	bool Allocate(Rows &rows);
	[[nodiscard]] static uint64_t TotalHeld(const Rows &rows);
	/** @return Lowest configuration version among the last reports of all services' owners made with the newest grants;
	 * 0 while an owner has made none. */
	[[nodiscard]] uint64_t MinAppliedConfig() const;
};

#endif /* SHARE_LEDGER_H */
