/**
 * @file share_type.h Shares of an account's maximum that each service may use, and the messages about them.
 *
 * - Maximum: most resources that all runs of an account may use together, at all services.
 * - Part: one of SHARE_WHOLE equal parts of a maximum.
 * - Share: parts that one service may use: a fixed number, and those that the ledger lends to it.
 * - Grant: parts of one account that the ledger lends to one service.
 * - Loan: message with the grants of one service.
 */
#ifndef SHARE_TYPE_H
#define SHARE_TYPE_H

#include "../strong_type.h"

#include <algorithm>
#include <vector>

/** Number of parts in an account's maximum; a share is a number of parts, the same for each kind of resource. */
inline constexpr uint32_t SHARE_WHOLE = 1000000;
/** Parts that are split evenly over all services permanently; the ledger lends the rest. The ledger may be unreachable
 * for seconds, and with these parts an account's first jobs at a service needn't wait for it. */
inline constexpr uint32_t SHARE_FIXED = SHARE_WHOLE * 2 / 25;

/** Usage of one account by the report of a service's owner, beyond the service's fixed parts. */
struct ShareStatement {
	AccountName account; ///< Name of the account.
	uint32_t hold = 0;   ///< Parts that it uses, or may use until a lower grant arrives: not to be lent elsewhere.
	uint32_t want = 0;   ///< Parts that it could use now.
};

/** Parts of one account that the ledger lends to a service. */
struct ShareGrant {
	AccountName account; ///< Name of the account.
	uint32_t parts = 0;  ///< Parts lent beyond the service's fixed parts.
	bool over = false;   ///< Whether usage at all services together exceeds the maximum: then no run may start.
};

/** Report of a service's owner on all accounts, with the set of grants that it has applied. */
struct ShareReport {
	uint64_t owner_epoch = 0;               ///< Epoch of the service's owner.
	uint64_t ledger_epoch = 0;              ///< Epoch of the ledger's owner that sent the last grants applied.
	uint64_t sequence = 0;                  ///< Sequence number of the last grants applied.
	uint64_t config = 0;                    ///< Version of the configuration by which usage is computed.
	std::vector<ShareStatement> statements; ///< Usage by account; accounts not listed hold and want no parts.
};

/** Grants of one service that its owner has to apply. */
struct ShareLoan {
	uint64_t ledger_epoch = 0; ///< Epoch of the ledger's owner; loans of a later owner replace those of earlier ones.
	uint64_t sequence = 0;     ///< Increases with each set of grants in an epoch.
	uint64_t config = 0;       ///< Configuration version that the owners of all services have applied, or a later one.
	std::vector<ShareGrant> grants; ///< Grants by account; accounts not listed are unchanged.
};

/** @return Fixed parts of a service. @param services Number of services. */
constexpr uint32_t FixedShare(size_t services)
{
	return SHARE_FIXED / static_cast<uint32_t>(std::max<size_t>(services, 1));
}

#endif /* SHARE_TYPE_H */
