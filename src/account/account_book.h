/** @file account_book.h Resources in use by each account at one service, and whether more tasks may start. No I/O. */
#ifndef ACCOUNT_BOOK_H
#define ACCOUNT_BOOK_H

#include "account_list.h"
#include "share_type.h"

#include <map>
#include <memory>

/**
 * Counts the demands of placed tasks, from the placement decision until the end of the run is known, so the count is
 * never below what runs. A task fits when the account stays within the service's share of its maximum, the fixed parts
 * and the parts lent by the ledger (share_type.h defines the terms). A maximum that is lowered below the usage stops no
 * run, but no task of the account starts at any service until the ledger has reports from all services under the new
 * maximum and their usage has fallen to it. The same holds for a new owner, which can't know whether a maximum was
 * lowered before it took over.
 */
class AccountBook {
public:
	/** State of an account at this service. */
	struct Use {
		Resources used;       ///< Total demand of the placed tasks.
		Resources maximum;    ///< Maximum in the last configuration with the account; 0 of a kind: no limit.
		uint32_t lent = 0;    ///< Parts lent by the ledger, of SHARE_WHOLE.
		bool over = false;    ///< Whether the usage at all services together exceeds the maximum.
		uint64_t version = 0; ///< Configuration version that all services must apply before tasks start.
	};

	/** An account and its state, for dumps. */
	struct NamedUse {
		AccountName account; ///< Name of the account.
		Use use;             ///< Its state.
	};

	/** Applies a configuration. @param accounts Its accounts; null for none. @param services Number of services. @param
	 * version Version of the configuration. */
	void Configure(std::shared_ptr<const AccountList> accounts, size_t services, uint64_t version);

	/** Adds a placed task. @param account Account of the task; empty for none. @param demand Resources of the task. */
	void Add(const AccountName &account, const Resources &demand);
	/** Removes a task that has ended or was not started. @param account Account of the task; empty for none. @param
	 * demand Resources of the task. */
	void Remove(const AccountName &account, const Resources &demand);
	/** @return Whether tasks may start. @param account Account of the tasks. @param demand Total resources of the
	 * tasks. */
	[[nodiscard]] bool Fits(const AccountName &account, const Resources &demand) const;

	/** @return Total demand of an account's tasks placed here. @param account Name of the account. */
	[[nodiscard]] Resources UsedBy(const AccountName &account) const;
	/** @return Weight of an account: its guaranteed rate in jobs per second, or 1 when the configuration has none.
	 * @param account Name of the account. */
	[[nodiscard]] double WeightOf(const AccountName &account) const;
	/** @return The accounts with the largest usage here, by processor time. @param most Limit of their number. */
	[[nodiscard]] std::vector<NamedUse> Largest(size_t most) const;
	/** @return Configuration version that all services have applied, or a later one, by the newest loan. */
	[[nodiscard]] uint64_t MinAppliedVersion() const { return this->min_applied_version; }
	/** @return Fraction of the demand of an account's ready tasks that fits into its maximum, from 0 to 1. @param
	 * account Name of the account. @param ready Total demand of its ready tasks. */
	[[nodiscard]] double FittingFraction(const AccountName &account, const Resources &ready) const;

	/** Applies a loan of the ledger. @param loan The loan; ignored when a newer one was applied. */
	void ApplyLoan(const ShareLoan &loan);
	/** Makes the report on the parts that this service holds and wants. @param ready Total demand of ready tasks, by
	 * account. @return The report, without the owner's epoch. */
	ShareReport Report(const std::map<AccountName, Resources> &ready);

private:
	std::shared_ptr<const AccountList> accounts; ///< Accounts of the configuration in force; null for none.
	uint32_t fixed_parts = SHARE_FIXED;          ///< Fixed parts of this service, of SHARE_WHOLE.
	std::map<AccountName, Use> uses;             ///< State by account.
	uint64_t ledger_epoch = 0;                   ///< Ledger epoch of the newest loan applied.
	uint64_t sequence = 0;                       ///< Sequence number of that loan.
	uint64_t version = 0;                        ///< Version of the configuration in force.
	uint64_t first_version = 0;                  ///< Version of the first configuration applied.
	uint64_t min_applied_version = 0;            ///< See MinAppliedVersion().

	Use &UseOf(const AccountName &account);
	[[nodiscard]] Use NewUse(const AccountName &account) const;
	void NoteLoweredMaxima(const AccountList &before, const AccountList &now);
	[[nodiscard]] static uint32_t PartsOf(const Resources &amount, const Resources &maximum);
};

#endif /* ACCOUNT_BOOK_H */
