/** @file test_shares.cpp Accounts' maxima over several services, each with an owner of its own. */
#include "account/account_book.h"
#include "account/fair_split.h"
#include "account/share_ledger.h"
#include "scheduler_type.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <ranges>

namespace {

constexpr int64_t CORES = 1000000;       ///< Thousandths of a core that an account may have,
constexpr int64_t MEMORY = 500000;       ///< and MB: a task asks for as much of this in parts as of cores, and more.
constexpr Resources TASK{2000, 1500, 0}; ///< A task; its memory binds first.
constexpr Millis ASKS_EVERY(200);        ///< The ledger speaks to services so often.
constexpr Millis RUN_TIME(1500);         ///< Time that a task takes.
constexpr Millis TURN(5000);             ///< A queue's turn.
constexpr Millis HOP(2);                 ///< Time that a message takes, if it isn't held up,
constexpr Millis HELD_UP(900);           ///< or up to that.
constexpr Millis RECORD(6);              ///< Time that a record takes.

std::shared_ptr<const AccountList> AccountsWith(size_t count, const Resources &maximum)
{
	std::vector<ClientAccount> out(count);
	for (size_t n = 0; n < count; n++) {
		out[n].name = AccountName("account-" + std::to_string(n));
		out[n].maximum = maximum;
	}
	return std::make_shared<const AccountList>(std::move(out));
}

/** Faults of the world. */
struct ShareFaults {
	int held_up_percent = 0; ///< Messages that come late, and out of order.
	int lost_percent = 0;    ///< Messages that don't come.
	Millis takeovers;        ///< Owners of services and of the ledger are replaced so often; 0 for never.
};

/** Services, each with an owner and a queue that rises by turns, and the ledger. */
class ShareWorld {
public:
	ShareWorld(size_t services, size_t accounts, uint32_t seed, const ShareFaults &faults)
			: faults(faults), random(seed), accounts(AccountsWith(accounts, {CORES, MEMORY, 0}))
	{
		for (size_t n = 0; n < services; n++) {
			Service service{ServiceName("service-" + std::to_string(n)), {}, 1, {}};
			service.book.Configure(this->accounts, services, this->version);
			this->services.push_back(std::move(service));
		}
		this->NewLedger();
		this->clock.After(Millis(10), [this] { this->Work(); });
		this->clock.After(Millis(1), [this] { this->Ask(); });
		if (faults.takeovers > Millis(0)) {
			this->clock.After(faults.takeovers, [this] { this->TakeOver(); });
		}
	}

	/** A service. */
	struct Service {
		ServiceName name;                       ///< Its name.
		AccountBook book;                       ///< Its owner's.
		uint64_t epoch = 1;                     ///< Of its owner.
		std::map<AccountName, int64_t> running; ///< Tasks that run, also those that an earlier owner started.
	};

	/** @return Tasks of an account that run at all services. */
	[[nodiscard]] int64_t Running(const AccountName &account) const
	{
		int64_t sum = 0;
		for (const Service &it : this->services) {
			const auto row = it.running.find(account);
			sum += row == it.running.end() ? 0 : row->second;
		}
		return sum;
	}

	/** Everybody's maximum changes. */
	void Change(const Resources &maximum)
	{
		this->accounts = AccountsWith(this->accounts->All().size(), maximum);
		this->version++;
		/* Services hear of it one after the other. */
		for (Service &it : this->services) {
			this->clock.After(Millis(static_cast<int64_t>(this->random() % 1000U)), [this, service = &it] {
				service->book.Configure(this->accounts, this->services.size(), this->version);
			});
		}
	}

	VirtualScheduler clock{Millis(0)}; ///< Clock.
	std::vector<Service> services;     ///< The services.
	int64_t breaches = 0;              ///< Starts beyond a maximum.
	int64_t starts = 0;                ///< Starts.
	uint64_t messages = 0;             ///< Messages of the ledger and its answers.
	uint64_t records = 0;              ///< Records that it wrote.

private:
	ShareFaults faults;                          ///< What goes wrong.
	std::mt19937 random;                         ///< Draws.
	std::shared_ptr<const AccountList> accounts; ///< The accounts.
	std::unique_ptr<ShareLedger> ledger;         ///< The ledger's owner.
	std::map<std::string, std::string> log;      ///< Its records.
	uint64_t version = 1;                        ///< Of the configuration.
	uint64_t ledgers = 0;                        ///< Owners that the ledger has had.
	bool recording = false;                      ///< Whether a record is under way.

	bool Chance(int percent) { return static_cast<int>(this->random() % 100U) < percent; }

	Millis Delay()
	{
		const bool late = this->Chance(this->faults.held_up_percent);
		return late ? Millis(1 + static_cast<int64_t>(this->random() % static_cast<uint64_t>(HELD_UP.Value()))) : HOP;
	}

	void NewLedger()
	{
		this->ledger = std::make_unique<ShareLedger>();
		for (const auto &[key, value] : this->log) {
			REQUIRE(this->ledger->Restore(key, value));
		}
		this->ledger->Begin(++this->ledgers);
		std::vector<ServiceName> names;
		std::ranges::transform(this->services, std::back_inserter(names), &Service::name);
		this->ledger->Configure(std::move(names));
		this->recording = false;
	}

	/** The owner of a service gives way to another one, which knows what was recorded as placed. */
	void TakeOver()
	{
		Service &service = this->services[this->random() % this->services.size()];
		service.epoch++;
		service.book = AccountBook();
		service.book.Configure(this->accounts, this->services.size(), this->version);
		for (const auto &[account, count] : service.running) {
			service.book.Add(account, TASK.Times(count));
		}
		if (this->Chance(50)) {
			this->NewLedger();
		}
		this->clock.After(this->faults.takeovers, [this] { this->TakeOver(); });
	}

	/** @return What a service's queue asks for: very much in its turn, little otherwise. */
	[[nodiscard]] int64_t Wanted(size_t n) const
	{
		const auto turn = static_cast<size_t>(this->clock.Now().Value() / TURN.Value()) % this->services.size();
		return turn == n ? 1000 : 10;
	}

	void Work()
	{
		for (size_t n = 0; n < this->services.size(); n++) {
			for (const ClientAccount &account : this->accounts->All()) {
				this->Start(this->services[n], account, this->Wanted(n));
			}
		}
		this->clock.After(Millis(20), [this] { this->Work(); });
	}

	void Start(Service &service, const ClientAccount &account, int64_t wanted)
	{
		while (service.running[account.name] < wanted && service.book.Fits(account.name, TASK)) {
			service.book.Add(account.name, TASK);
			service.running[account.name]++;
			this->starts++;
			const Resources all = TASK.Times(this->Running(account.name));
			this->breaches += all.cpu > account.maximum.cpu || all.memory > account.maximum.memory ? 1 : 0;
			const Millis time = RUN_TIME + Millis(static_cast<int64_t>(this->random() % 500U));
			this->clock.After(time, [it = &service, name = account.name] {
				it->running[name]--;
				it->book.Remove(name, TASK);
			});
		}
	}

	void Ask()
	{
		for (size_t n = 0; n < this->services.size(); n++) {
			this->messages += 2;
			if (this->Chance(this->faults.lost_percent)) {
				continue;
			}
			const ShareLoan loan = this->ledger->LoanOf(this->services[n].name);
			this->clock.After(this->Delay(), [this, n, loan] { this->OnLoan(n, loan); });
		}
		this->clock.After(ASKS_EVERY, [this] { this->Ask(); });
		this->clock.After(Millis(ASKS_EVERY.Value() / 2), [this] { this->Lend(); });
	}

	void OnLoan(size_t n, const ShareLoan &loan)
	{
		Service &service = this->services[n];
		service.book.ApplyLoan(loan);
		std::map<AccountName, Resources> ready;
		for (const ClientAccount &account : this->accounts->All()) {
			const int64_t waiting = this->Wanted(n) - service.running[account.name];
			ready[account.name] = TASK.Times(std::max<int64_t>(waiting, 0));
		}
		ShareReport report = service.book.Report(ready);
		report.owner_epoch = service.epoch;
		this->clock.After(this->Delay(),
						  [this, n, report] { this->ledger->ApplyReport(this->services[n].name, report); });
	}

	void Lend()
	{
		if (this->recording) {
			return;
		}
		const std::vector<KeyedRecord> records = this->ledger->Decide();
		if (records.empty()) {
			this->ledger->Commit();
			return;
		}
		this->recording = true;
		this->clock.After(RECORD, [this, records, owner = this->ledgers] {
			if (owner != this->ledgers) {
				return; /* Another owner has claimed: the log refuses it. */
			}
			this->records += records.size();
			std::ranges::for_each(records, [this](const KeyedRecord &it) { this->log[it.key] = *it.value; });
			this->recording = false;
			this->ledger->Commit();
		});
	}
};

/** Tasks that an account's maximum holds. */
constexpr int64_t HELD_BY_MAXIMUM = MEMORY / TASK.memory;

} // namespace

TEST_CASE("shares: what there is is split evenly among those who want more")
{
	CHECK(FairSplit({10, 20, 30}, 100) == std::vector<uint32_t>{10, 20, 30});
	CHECK(FairSplit({10, 80, 90}, 100) == std::vector<uint32_t>{10, 45, 45});
	CHECK(FairSplit({0, 500, 500, 500}, 100) == std::vector<uint32_t>{0, 33, 33, 34});
	CHECK(FairSplit({}, 100).empty());
}

TEST_CASE("shares: no account's maximum is passed, with messages late, lost and out of order, and owners replaced")
{
	for (const uint32_t seed : std::views::iota(1U, 31U)) {
		CAPTURE(seed);
		ShareWorld world(4, 5, seed, ShareFaults{20, 10, Millis(700)});
		world.clock.RunUntil(Millis(30000));
		CHECK(world.breaches == 0);
		CHECK(world.starts > 5000);
	}
}

TEST_CASE("shares: a maximum that falls stops no run and no start within it")
{
	ShareWorld world(4, 2, 1, ShareFaults{10, 5, Millis(2000)});
	world.clock.RunUntil(Millis(8000));
	const AccountName first("account-0");
	const int64_t before = world.Running(first);
	world.Change({CORES / 10, MEMORY / 10, 0});
	CHECK(world.Running(first) == before);
	/* Until it is in force everywhere, the higher maximum counts. */
	world.clock.RunUntil(Millis(9000));
	world.breaches = 0;
	world.clock.RunUntil(Millis(16000));
	CHECK(world.breaches == 0);
	CHECK(world.Running(first) > 0);
	CHECK(world.Running(first) <= HELD_BY_MAXIMUM / 10);
}

TEST_CASE("shares: a queue whose turn has come has nine tenths of the maximum within a second and a run's time")
{
	ShareWorld world(4, 5, 1, ShareFaults{});
	for (const int64_t turn : std::views::iota(1, 6)) {
		/* What the turn before has running ends by itself: 2 s at most. */
		world.clock.RunUntil(Millis(turn * TURN.Value()) + RUN_TIME + Millis(500) + Millis(1000));
		CAPTURE(turn);
		CHECK(world.Running(AccountName("account-0")) >= HELD_BY_MAXIMUM * 9 / 10);
	}
	CHECK(world.breaches == 0);
}

TEST_CASE("shares: an account without a maximum, and what belongs to nobody, is not held up")
{
	AccountBook book;
	book.Configure(AccountsWith(1, {0, 0, 0}), 4, 1);
	CHECK(book.Fits(AccountName("account-0"), {int64_t{1} << 40, 1, 1}));
	CHECK(book.Fits(AccountName(), {1, 1, 1}));
	CHECK(book.Fits(AccountName("never-heard-of"), {1, 1, 1}));
	book.Configure(AccountsWith(1, {0, 100, 0}), 1, 2);
	CHECK(!book.Fits(AccountName("account-0"), {1, 1, 1}));
	book.ApplyLoan(ShareLoan{1, 1, 2, {}});
	CHECK(book.Fits(AccountName("account-0"), {int64_t{1} << 40, 8, 1}));
	CHECK(!book.Fits(AccountName("account-0"), {1, 9, 1}));
}

TEST_CASE("shares: a record that can't be read is told, and what an earlier owner lent counts until its holder speaks")
{
	ShareLedger ledger;
	CHECK(!ledger.Restore("share/a", "nonsense"));
	ShareLedger first;
	first.Begin(1);
	const ServiceName service("s");
	const AccountName account("a");
	first.ApplyReport(service, ShareReport{1, 0, 0, 1, {ShareStatement{account, 0, 300000}}});
	first.ApplyReport(ServiceName("t"), ShareReport{1, 0, 0, 1, {ShareStatement{account, 0, 1000}}});
	const std::vector<KeyedRecord> records = first.Decide();
	REQUIRE(records.size() == 1);
	REQUIRE(ShareLedger::IsLedgerKey(records.front().key));
	REQUIRE(ledger.Restore(records.front().key, *records.front().value));
	ledger.Begin(2);
	const uint64_t lent = ledger.Lent(account);
	CHECK(lent >= 301000);
	/* Said before the second owner was heard. */
	ledger.ApplyReport(service, ShareReport{1, 1, 9, 1, {ShareStatement{account, 0, 0}}});
	CHECK(ledger.Lent(account) == lent);
	ledger.ApplyReport(service, ShareReport{1, 2, 1, 1, {ShareStatement{account, 100, 100}}});
	ledger.ApplyReport(ServiceName("t"), ShareReport{1, 2, 1, 1, {ShareStatement{account, 200, 0}}});
	CHECK(ledger.Lent(account) == 300);
}
