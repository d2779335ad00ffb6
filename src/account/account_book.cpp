/** @file account_book.cpp Resources in use by each account at one service. */
#include "account_book.h"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>
#include <utility>

namespace {

constexpr std::array RESOURCE_KINDS = {&Resources::cpu, &Resources::memory, &Resources::accelerators};

/** @return The given parts, of SHARE_WHOLE, of an amount; in long double, which keeps all its digits. */
int64_t AmountOfParts(int64_t amount, uint64_t parts)
{
	return static_cast<int64_t>(static_cast<long double>(amount) * static_cast<long double>(parts) / SHARE_WHOLE);
}

} // namespace

AccountBook::Use &AccountBook::UseOf(const AccountName &account)
{
	const auto it = this->uses.find(account);
	return it != this->uses.end() ? it->second : this->uses.emplace(account, this->NewUse(account)).first->second;
}

AccountBook::Use AccountBook::NewUse(const AccountName &account) const
{
	const ClientAccount *known = this->accounts ? this->accounts->Find(account) : nullptr;
	Use use;
	use.maximum = known == nullptr ? Resources{} : known->maximum;
	use.version = this->first_version;
	return use;
}

void AccountBook::NoteLoweredMaxima(const AccountList &before, const AccountList &now)
{
	for (const ClientAccount &it : now.All()) {
		const ClientAccount *old = before.Find(it.name);
		const bool lowered = std::ranges::any_of(RESOURCE_KINDS, [&](int64_t Resources::*kind) {
			const int64_t limit = it.maximum.*kind;
			return limit > 0 && (old == nullptr || old->maximum.*kind == 0 || old->maximum.*kind > limit);
		});
		if (lowered) {
			this->UseOf(it.name).version = this->version;
		}
	}
}

void AccountBook::Configure(std::shared_ptr<const AccountList> accounts, size_t services, uint64_t version)
{
	const std::shared_ptr<const AccountList> before = std::exchange(this->accounts, std::move(accounts));
	this->fixed_parts = FixedShare(services);
	this->version = version;
	if (this->first_version == 0) {
		this->first_version = version;
	} else if (before && this->accounts) {
		this->NoteLoweredMaxima(*before, *this->accounts);
	}
	for (auto &[name, use] : this->uses) {
		/* An account that was removed keeps its last maximum for the jobs that it has submitted. */
		if (const ClientAccount *known = this->accounts ? this->accounts->Find(name) : nullptr; known != nullptr) {
			use.maximum = known->maximum;
		}
	}
}

void AccountBook::Add(const AccountName &account, const Resources &demand)
{
	if (!account.Value().empty()) {
		this->UseOf(account).used += demand;
	}
}

void AccountBook::Remove(const AccountName &account, const Resources &demand)
{
	if (!account.Value().empty()) {
		this->UseOf(account).used -= demand;
	}
}

bool AccountBook::Fits(const AccountName &account, const Resources &demand) const
{
	if (account.Value().empty()) {
		return true;
	}
	const auto it = this->uses.find(account);
	const Use use = it == this->uses.end() ? this->NewUse(account) : it->second;
	if (use.maximum == Resources{}) {
		return true;
	}
	if (use.over || this->min_applied_version < use.version) {
		return false;
	}
	const uint64_t parts = uint64_t{this->fixed_parts} + use.lent;
	return std::ranges::all_of(RESOURCE_KINDS, [&](int64_t Resources::*kind) {
		return use.maximum.*kind == 0 || demand.*kind == 0 ||
			   use.used.*kind + demand.*kind <= AmountOfParts(use.maximum.*kind, parts);
	});
}

Resources AccountBook::UsedBy(const AccountName &account) const
{
	const auto it = this->uses.find(account);
	return it == this->uses.end() ? Resources{} : it->second.used;
}

std::vector<AccountBook::NamedUse> AccountBook::Largest(size_t most) const
{
	std::vector<NamedUse> all;
	std::ranges::transform(this->uses, std::back_inserter(all), [](const auto &it) {
		return NamedUse{it.first, it.second};
	});
	std::ranges::sort(all, std::ranges::greater{}, [](const NamedUse &it) { return it.use.used.cpu; });
	all.resize(std::min(all.size(), most));
	return all;
}

double AccountBook::WeightOf(const AccountName &account) const
{
	const ClientAccount *known = this->accounts ? this->accounts->Find(account) : nullptr;
	return known == nullptr || known->weight <= 0 ? 1.0 : known->weight;
}

double AccountBook::FittingFraction(const AccountName &account, const Resources &ready) const
{
	const auto it = this->uses.find(account);
	if (it == this->uses.end()) {
		return 1;
	}
	double fraction = 1;
	for (int64_t Resources::*kind : RESOURCE_KINDS) {
		const int64_t room = it->second.maximum.*kind - it->second.used.*kind;
		if (it->second.maximum.*kind > 0 && ready.*kind > 0) {
			fraction = std::min(fraction,
								static_cast<double>(std::max<int64_t>(room, 0)) / static_cast<double>(ready.*kind));
		}
	}
	return fraction;
}

void AccountBook::ApplyLoan(const ShareLoan &loan)
{
	if (std::tuple(loan.ledger_epoch, loan.sequence) < std::tuple(this->ledger_epoch, this->sequence)) {
		return;
	}
	this->ledger_epoch = loan.ledger_epoch;
	this->sequence = loan.sequence;
	this->min_applied_version = loan.config;
	for (const ShareGrant &it : loan.grants) {
		Use &use = this->UseOf(it.account);
		use.lent = it.parts;
		use.over = it.over;
	}
}

uint32_t AccountBook::PartsOf(const Resources &amount, const Resources &maximum)
{
	double most = 0;
	for (int64_t Resources::*kind : RESOURCE_KINDS) {
		if (maximum.*kind > 0) {
			most = std::max(most, static_cast<double>(amount.*kind) / static_cast<double>(maximum.*kind));
		}
	}
	return static_cast<uint32_t>(std::min(most * SHARE_WHOLE + 1, double{SHARE_WHOLE}));
}

ShareReport AccountBook::Report(const std::map<AccountName, Resources> &ready)
{
	ShareReport report{0, this->ledger_epoch, this->sequence, this->version, {}};
	for (const auto &[account, amount] : ready) {
		this->UseOf(account);
	}
	const auto beyond_fixed = [this](uint32_t parts) {
		return parts > this->fixed_parts ? parts - this->fixed_parts : 0;
	};
	for (auto &[account, use] : this->uses) {
		if (account.Value().empty() || use.maximum == Resources{}) {
			continue;
		}
		Resources all = use.used;
		if (const auto it = ready.find(account); it != ready.end()) {
			all += it->second;
		}
		const uint32_t used = beyond_fixed(PartsOf(use.used, use.maximum));
		const uint32_t want = beyond_fixed(PartsOf(all, use.maximum));
		const uint32_t hold = std::max(use.lent, used);
		if (hold > 0 || want > 0) {
			report.statements.push_back(ShareStatement{account, hold, want});
		}
	}
	return report;
}
