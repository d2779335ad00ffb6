/** @file share_type.h How much of an account's maximum each service may use: shares, and what is said of them. */
#ifndef SHARE_TYPE_H
#define SHARE_TYPE_H

#include "../strong_type.h"

#include <algorithm>
#include <vector>

/** The whole of an account's maximum; shares are parts of it, of each kind of resource alike. */
inline constexpr uint32_t SHARE_WHOLE = 1000000;
/** Parts that are split evenly over all services for good. The rest is lent by the ledger, which may be out of reach
 * for seconds; with this an account's first jobs at a service wait for nobody. */
inline constexpr uint32_t SHARE_FIXED = SHARE_WHOLE * 2 / 25;

/** What a service's owner says of one account: beyond the service's fixed part. */
struct ShareStatement {
	AccountName account; ///< The account.
	uint32_t hold = 0; ///< Parts that it uses, or may use until it hears of fewer: the ledger may lend no more of them.
	uint32_t want = 0; ///< Parts that it could use now.
};

/** What the ledger lends a service of one account. */
struct ShareGrant {
	AccountName account; ///< The account.
	uint32_t parts = 0;  ///< Parts beyond the service's fixed part.
	bool over = false;   ///< All services together have more running than there is: nothing may start, also not here.
};

/** Statements are made after a set of grants was taken: which, and by which owner of the service. */
struct ShareReport {
	uint64_t owner_epoch = 0;               ///< Epoch of the service's owner.
	uint64_t ledger_epoch = 0;              ///< Epoch of the ledger's owner that it has last heard.
	uint64_t sequence = 0;                  ///< Sequence of that ledger's grants that it has last taken.
	uint64_t config = 0;                    ///< Version of the configuration by which it is reckoned.
	std::vector<ShareStatement> statements; ///< By account; what isn't named is neither held nor wanted.
};

/** A set of grants for one service. */
struct ShareLoan {
	uint64_t ledger_epoch = 0;      ///< Epoch of the ledger's owner: a later owner's count against an earlier one's.
	uint64_t sequence = 0;          ///< Rises with each set of an epoch.
	uint64_t config = 0;            ///< All services' owners have reckoned by this version, or a later one.
	std::vector<ShareGrant> grants; ///< By account; what isn't named is as before.
};

/** @return Fixed part of a service. @param services How many services there are. */
constexpr uint32_t FixedShare(size_t services)
{
	return SHARE_FIXED / static_cast<uint32_t>(std::max<size_t>(services, 1));
}

#endif /* SHARE_TYPE_H */
