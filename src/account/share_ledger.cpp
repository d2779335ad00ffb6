/** @file share_ledger.cpp Lends parts of the accounts' maxima to services. */
#include "share_ledger.h"

#include "../store/record_codec.h"
#include "fair_split.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <ranges>

namespace wire = glade::shard;

namespace {

constexpr std::string_view KEY_PREFIX = "share/";        ///< Precedes the account's name in the key of its record.
constexpr uint32_t LENDABLE = SHARE_WHOLE - SHARE_FIXED; ///< Parts of each maximum that the ledger may lend.

} // namespace

bool ShareLedger::IsLedgerKey(const std::string &key)
{
	return key.starts_with(KEY_PREFIX);
}

bool ShareLedger::Restore(const std::string &key, const std::string &value)
{
	const auto in = UnpackRecord<wire::ShareRecord>(value);
	if (!in || in->services.size() != in->parts.size()) {
		return false;
	}
	Rows &rows = this->accounts[AccountName(key.substr(KEY_PREFIX.size()))];
	for (size_t n = 0; n < in->services.size(); n++) {
		Row &row = rows[ServiceName(in->services[n])];
		const uint32_t parts = std::max(row.held, in->parts[n]);
		/* Until the service's owner reports, the recorded parts count as held, wanted, decided and lent. None count as
		 * applied, so that the owner gets a grant. */
		row = Row{parts, parts, parts, parts, parts, 0, false};
	}
	return true;
}

void ShareLedger::ApplyReport(const ServiceName &service, const ShareReport &report)
{
	Owner &owner = this->owners[service];
	if (report.owner_epoch < owner.epoch) {
		return; /* Another owner has taken over: this report is outdated. */
	}
	const bool has_newest_grants = report.ledger_epoch == this->epoch && report.sequence == this->sequence;
	owner.epoch = report.owner_epoch;
	owner.config = has_newest_grants ? report.config : owner.config;
	/* Accounts that the report doesn't list get an empty statement below. */
	std::map<AccountName, ShareStatement> by_account;
	std::ranges::for_each(report.statements, [&by_account](const ShareStatement &it) { by_account[it.account] = it; });
	for (const AccountName &account : by_account | std::views::keys) {
		/* Creates the row when there is none. */
		this->accounts[account][service];
	}
	for (auto &[account, rows] : this->accounts) {
		const bool over = TotalHeld(rows) > LENDABLE;
		const auto row = rows.find(service);
		if (row == rows.end()) {
			continue;
		}
		const ShareStatement &it = by_account[account];
		row->second.want = it.want;
		if (has_newest_grants) {
			row->second.applied = row->second.lent;
			row->second.over_acknowledged = over;
			row->second.held = row->second.reported_held = it.hold;
		}
	}
}

uint64_t ShareLedger::TotalHeld(const Rows &rows)
{
	return std::accumulate(rows.begin(), rows.end(), uint64_t{0},
						   [](uint64_t sum, const auto &it) { return sum + it.second.held; });
}

uint64_t ShareLedger::MinAppliedConfig() const
{
	uint64_t least = std::numeric_limits<uint64_t>::max();
	for (const ServiceName &it : this->services) {
		const auto owner = this->owners.find(it);
		least = std::min(least, owner == this->owners.end() ? 0 : owner->second.config);
	}
	return least;
}

bool ShareLedger::Allocate(Rows &rows)
{
	const uint64_t held = TotalHeld(rows);
	const bool unmet = std::ranges::any_of(rows | std::views::values, [](const Row &it) { return it.want > it.held; });
	if (!unmet && held <= LENDABLE) {
		std::ranges::for_each(rows | std::views::values, [](Row &it) { it.decided = it.held; });
		return false;
	}
	std::vector<uint32_t> wants;
	std::ranges::transform(rows | std::views::values, std::back_inserter(wants), [](const Row &it) { return it.want; });
	const std::vector<uint32_t> targets = FairSplit(wants, LENDABLE);
	/* Parts that nobody wants now are lent, too, so that a service whose demand rises needn't request parts first. */
	const auto unclaimed = LENDABLE - std::accumulate(targets.begin(), targets.end(), uint32_t{0});
	const auto extra = unclaimed / static_cast<uint32_t>(targets.size());
	uint64_t free = held < LENDABLE ? LENDABLE - held : 0;
	bool raised = false;
	for (size_t n = 0; auto &[service, row] : rows) {
		const uint32_t target = targets[n++] + extra;
		row.decided = static_cast<uint32_t>(std::min<uint64_t>(target, row.held + free));
		if (row.decided > row.held) {
			free -= row.decided - row.held;
			row.held = row.decided;
			raised = true;
		}
	}
	return raised;
}

std::vector<KeyedRecord> ShareLedger::Decide()
{
	std::vector<KeyedRecord> records;
	for (auto &[account, rows] : this->accounts) {
		if (!this->Allocate(rows)) {
			continue;
		}
		wire::ShareRecordT out;
		out.format = RECORD_FORMAT;
		for (const auto &[service, row] : rows) {
			if (row.held > 0) {
				out.services.push_back(service.Value());
				out.parts.push_back(row.held);
			}
		}
		records.push_back(KeyedRecord{std::string(KEY_PREFIX) + account.Value(), PackRecord<wire::ShareRecord>(out)});
	}
	return records;
}

void ShareLedger::Commit()
{
	this->sequence++;
	for (Rows &rows : this->accounts | std::views::values) {
		std::ranges::for_each(rows | std::views::values, [](Row &it) { it.lent = it.decided; });
	}
}

ShareLoan ShareLedger::LoanOf(const ServiceName &service) const
{
	ShareLoan loan{this->epoch, this->sequence, this->MinAppliedConfig(), {}};
	for (const auto &[account, rows] : this->accounts) {
		const bool over = TotalHeld(rows) > LENDABLE;
		const auto it = rows.find(service);
		const Row row = it == rows.end() ? Row{} : it->second;
		if (row.lent != row.applied || row.lent != row.reported_held || over || row.over_acknowledged) {
			loan.grants.push_back(ShareGrant{account, row.lent, over});
		}
	}
	return loan;
}

uint64_t ShareLedger::PartsHeld(const AccountName &account) const
{
	const auto it = this->accounts.find(account);
	if (it == this->accounts.end()) {
		return 0;
	}
	return TotalHeld(it->second);
}
