/** @file account_book.h What each account has running at one service, and whether more may start. Pure. */
#ifndef ACCOUNT_BOOK_H
#define ACCOUNT_BOOK_H

#include "account_list.h"
#include "share_type.h"

#include <map>
#include <memory>

/**
 * Counts what is placed, from the moment at which that is decided until its end is known: never less than what runs. A
 * start fits when the account stays within the service's share of its maximum: the fixed part and what is lent. A
 * maximum that falls below what runs stops nothing that runs; nothing of the account starts anywhere until the ledger
 * has heard from all services by the new maximum and what they hold has fallen to it. The same holds for a new owner,
 * which can't know of a fall before its time.
 */
class AccountBook {
public:
	/** An account at this service. */
	struct Use {
		Resources used;       ///< Of what is placed.
		Resources maximum;    ///< By the last configuration that has the account; 0 of a kind for no limit.
		uint32_t lent = 0;    ///< Parts lent.
		bool over = false;    ///< All services together have too much running.
		uint64_t version = 0; ///< All services have to reckon by this version before anything starts.
	};

	/** An account at this service, for dumps. */
	struct NamedUse {
		AccountName account; ///< Its name.
		Use use;             ///< What is known of it.
	};

	/** Takes a configuration. @param accounts Its accounts; null where there are none. @param services How many
	 * services there are. @param version Its version. */
	void Configure(std::shared_ptr<const AccountList> accounts, size_t services, uint64_t version);

	/** A task was placed. @param account Its account; empty for nobody's. @param demand What it takes. */
	void Add(const AccountName &account, const Resources &demand);
	/** It has ended, or was not started. @param account Its account. @param demand What it took. */
	void Remove(const AccountName &account, const Resources &demand);
	/** @return Whether tasks may start. @param account Their account. @param demand What they take together. */
	[[nodiscard]] bool Fits(const AccountName &account, const Resources &demand) const;

	/** @return What an account has placed here. @param account The account. */
	[[nodiscard]] Resources UsedBy(const AccountName &account) const;
	/** @return An account's weight: jobs a second that it may count on, or 1 when none are stated. @param account The
	 * account. */
	[[nodiscard]] double WeightOf(const AccountName &account) const;
	/** @return The accounts that have most placed here, by processor time. @param most How many at most. */
	[[nodiscard]] std::vector<NamedUse> Largest(size_t most) const;
	/** @return Version by which all services reckon, as the ledger has told. */
	[[nodiscard]] uint64_t MinAppliedVersion() const { return this->version_of_all; }
	/** @return The part of what an account's tasks ask for that its maximum leaves room for, from 0 to 1. @param
	 * account The account. @param ready What they ask for. */
	[[nodiscard]] double FittingFraction(const AccountName &account, const Resources &ready) const;

	/** Takes what the ledger lends. @param loan It; ignored when a newer one was taken. */
	void ApplyLoan(const ShareLoan &loan);
	/** Says what is held and wanted. @param ready What tasks whose turn has come ask for, by account. @return All but
	 * the owner's epoch. */
	ShareReport Report(const std::map<AccountName, Resources> &ready);

private:
	std::shared_ptr<const AccountList> accounts; ///< By the configuration in force.
	uint32_t fixed = SHARE_FIXED;                ///< This service's fixed part.
	std::map<AccountName, Use> uses;             ///< By account.
	uint64_t ledger_epoch = 0;                   ///< Of the newest loan taken.
	uint64_t sequence = 0;                       ///< The same.
	uint64_t version = 0;                        ///< Of the configuration in force.
	uint64_t first_version = 0;                  ///< Of the one that was in force first.
	uint64_t version_of_all = 0;                 ///< All services reckon by this version or a later one.

	Use &UseOf(const AccountName &account);
	[[nodiscard]] Use FreshUse(const AccountName &account) const;
	void NoteFalls(const AccountList &before, const AccountList &now);
	[[nodiscard]] static uint32_t PartsOf(const Resources &amount, const Resources &maximum);
};

#endif /* ACCOUNT_BOOK_H */
