/** @file test_shares.cpp Maxima of accounts across several services, each with its own owner. */
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

constexpr int64_t CPU_MAXIMUM = 1000000;   ///< CPU maximum of an account in thousandths of a core.
constexpr int64_t MEMORY_MAXIMUM = 500000; ///< Memory maximum of an account in MB.
constexpr Resources TASK{2000, 1500,
						 0}; ///< Resources of a task. Relative to the maxima, it needs more memory than CPU.
constexpr Millis EXCHANGE_INTERVAL(200); ///< Interval of exchanges between ledger and services.
constexpr Millis RUN_TIME(1500);         ///< Minimum run time of a task.
constexpr Millis TURN_TIME(5000);        ///< Time for which each queue in turn has high demand.
constexpr Millis MESSAGE_DELAY(2);       ///< Delay of a message without faults.
constexpr Millis MAX_MESSAGE_DELAY(900); ///< Maximum delay of a delayed message.
constexpr Millis APPEND_TIME(6);         ///< Duration of an append.

std::shared_ptr<const AccountList> AccountsWith(size_t count, const Resources &maximum)
{
	std::vector<ClientAccount> out(count);
	for (size_t n = 0; n < count; n++) {
		out[n].name = AccountName("account-" + std::to_string(n));
		out[n].maximum = maximum;
	}
	return std::make_shared<const AccountList>(std::move(out));
}

/** Faults in the simulation. */
struct ShareFaults {
	int delayed_percent = 0; ///< Percentage of messages that are delayed, and so reordered.
	int lost_percent = 0;    ///< Percentage of exchanges that are lost.
	Millis takeovers;        ///< Interval between replacements of owners of services and ledger; 0 for none.
};

/** Simulation of the ledger and of services, each with an owner and a queue; queues have high demand in turn. */
class ShareWorld {
public:
	ShareWorld(size_t services, size_t accounts, uint32_t seed, const ShareFaults &faults)
			: faults(faults), random(seed), accounts(AccountsWith(accounts, {CPU_MAXIMUM, MEMORY_MAXIMUM, 0}))
	{
		for (size_t n = 0; n < services; n++) {
			Service service{ServiceName("service-" + std::to_string(n)), {}, 1, {}};
			service.book.Configure(this->accounts, services, this->version);
			this->services.push_back(std::move(service));
		}
		this->ReplaceLedger();
		this->clock.After(Millis(10), [this] { this->StartAllTasks(); });
		this->clock.After(Millis(1), [this] { this->SendLoans(); });
		if (faults.takeovers > Millis(0)) {
			this->clock.After(faults.takeovers, [this] { this->ReplaceOwners(); });
		}
	}

	/** A service and the state of its owner. */
	struct Service {
		ServiceName name;                       ///< Name of the service.
		AccountBook book;                       ///< Account book of the owner.
		uint64_t epoch = 1;                     ///< Epoch of the owner.
		std::map<AccountName, int64_t> running; ///< Running tasks, including those that an earlier owner started.
	};

	/** @return Running tasks of an account at all services together. @param account Name of the account. */
	[[nodiscard]] int64_t Running(const AccountName &account) const
	{
		int64_t sum = 0;
		for (const Service &it : this->services) {
			const auto row = it.running.find(account);
			sum += row == it.running.end() ? 0 : row->second;
		}
		return sum;
	}

	/** Changes the maximum of all accounts. @param maximum The new maximum. */
	void ChangeMaximum(const Resources &maximum)
	{
		this->accounts = AccountsWith(this->accounts->All().size(), maximum);
		this->version++;
		/* The services get the new configuration at different times. */
		for (Service &it : this->services) {
			this->clock.After(Millis(static_cast<int64_t>(this->random() % 1000U)), [this, service = &it] {
				service->book.Configure(this->accounts, this->services.size(), this->version);
			});
		}
	}

	VirtualScheduler clock{Millis(0)}; ///< The simulation's clock.
	std::vector<Service> services;     ///< All services.
	int64_t breaches = 0;              ///< Number of starts that exceeded a maximum.
	int64_t starts = 0;                ///< Number of starts.
	uint64_t messages = 0;             ///< Number of messages from and to the ledger.
	uint64_t records = 0;              ///< Number of records that the ledger wrote.

private:
	ShareFaults faults;                          ///< Injected faults.
	std::mt19937 random;                         ///< Source of random numbers.
	std::shared_ptr<const AccountList> accounts; ///< Configured accounts.
	std::unique_ptr<ShareLedger> ledger;         ///< Ledger of the current owner.
	std::map<std::string, std::string> log;      ///< Durable records of the ledger.
	uint64_t version = 1;                        ///< Version of the configuration.
	uint64_t ledgers = 0;                        ///< Number of ledger owners so far.
	bool recording = false;                      ///< Whether an append is in progress.

	bool Chance(int percent) { return static_cast<int>(this->random() % 100U) < percent; }

	Millis Delay()
	{
		const bool late = this->Chance(this->faults.delayed_percent);
		return late ? Millis(1 +
							 static_cast<int64_t>(this->random() % static_cast<uint64_t>(MAX_MESSAGE_DELAY.Value())))
					: MESSAGE_DELAY;
	}

	void ReplaceLedger()
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

	/** Replaces the owner of a random service by a new one, which knows the tasks recorded as placed; with a
	 * probability of one half also that of the ledger. */
	void ReplaceOwners()
	{
		Service &service = this->services[this->random() % this->services.size()];
		service.epoch++;
		service.book = AccountBook();
		service.book.Configure(this->accounts, this->services.size(), this->version);
		for (const auto &[account, count] : service.running) {
			service.book.Add(account, TASK.Times(count));
		}
		if (this->Chance(50)) {
			this->ReplaceLedger();
		}
		this->clock.After(this->faults.takeovers, [this] { this->ReplaceOwners(); });
	}

	/** @return Tasks that a service wants per account: many during its turn, few otherwise. @param n Index of the
	 * service. */
	[[nodiscard]] int64_t Wanted(size_t n) const
	{
		const auto turn = static_cast<size_t>(this->clock.Now().Value() / TURN_TIME.Value()) % this->services.size();
		return turn == n ? 1000 : 10;
	}

	void StartAllTasks()
	{
		for (size_t n = 0; n < this->services.size(); n++) {
			for (const ClientAccount &account : this->accounts->All()) {
				this->Start(this->services[n], account, this->Wanted(n));
			}
		}
		this->clock.After(Millis(20), [this] { this->StartAllTasks(); });
	}

	void Start(Service &service, const ClientAccount &account, int64_t wanted)
	{
		while (service.running[account.name] < wanted && service.book.Fits(account.name, TASK)) {
			service.book.Add(account.name, TASK);
			service.running[account.name]++;
			this->starts++;
			const Resources used = TASK.Times(this->Running(account.name));
			this->breaches += used.cpu > account.maximum.cpu || used.memory > account.maximum.memory ? 1 : 0;
			const Millis time = RUN_TIME + Millis(static_cast<int64_t>(this->random() % 500U));
			this->clock.After(time, [it = &service, name = account.name] {
				it->running[name]--;
				it->book.Remove(name, TASK);
			});
		}
	}

	void SendLoans()
	{
		for (size_t n = 0; n < this->services.size(); n++) {
			this->messages += 2;
			if (this->Chance(this->faults.lost_percent)) {
				continue;
			}
			const ShareLoan loan = this->ledger->LoanOf(this->services[n].name);
			this->clock.After(this->Delay(), [this, n, loan] { this->OnLoan(n, loan); });
		}
		this->clock.After(EXCHANGE_INTERVAL, [this] { this->SendLoans(); });
		this->clock.After(Millis(EXCHANGE_INTERVAL.Value() / 2), [this] { this->UpdateLoans(); });
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

	void UpdateLoans()
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
		this->clock.After(APPEND_TIME, [this, records, owner = this->ledgers] {
			if (owner != this->ledgers) {
				return; /* Another owner has claimed the ledger: the log rejects the append. */
			}
			this->records += records.size();
			std::ranges::for_each(records, [this](const KeyedRecord &it) { this->log[it.key] = *it.value; });
			this->recording = false;
			this->ledger->Commit();
		});
	}
};

/** Number of tasks within an account's maximum. */
constexpr int64_t TASKS_WITHIN_MAXIMUM = MEMORY_MAXIMUM / TASK.memory;

} // namespace

TEST_CASE("shares: small demands are met, and what is left is split evenly among those that want more")
{
	CHECK(FairSplit({10, 20, 30}, 100) == std::vector<uint32_t>{10, 20, 30});
	CHECK(FairSplit({10, 80, 90}, 100) == std::vector<uint32_t>{10, 45, 45});
	CHECK(FairSplit({0, 500, 500, 500}, 100) == std::vector<uint32_t>{0, 33, 33, 34});
	CHECK(FairSplit({}, 100).empty());
}

TEST_CASE("shares: no maximum is exceeded if messages are late, lost and out of order, and owners are replaced")
{
	for (const uint32_t seed : std::views::iota(1U, 31U)) {
		CAPTURE(seed);
		ShareWorld world(4, 5, seed, ShareFaults{20, 10, Millis(700)});
		world.clock.RunUntil(Millis(30000));
		CHECK(world.breaches == 0);
		CHECK(world.starts > 5000);
	}
}

TEST_CASE("shares: a lowered maximum stops no runs, and starts within the new maximum go on")
{
	ShareWorld world(4, 2, 1, ShareFaults{10, 5, Millis(2000)});
	world.clock.RunUntil(Millis(8000));
	const AccountName first("account-0");
	const int64_t before = world.Running(first);
	world.ChangeMaximum({CPU_MAXIMUM / 10, MEMORY_MAXIMUM / 10, 0});
	CHECK(world.Running(first) == before);
	/* The old maximum applies until all services have the new one. */
	world.clock.RunUntil(Millis(9000));
	world.breaches = 0;
	world.clock.RunUntil(Millis(16000));
	CHECK(world.breaches == 0);
	CHECK(world.Running(first) > 0);
	CHECK(world.Running(first) <= TASKS_WITHIN_MAXIMUM / 10);
}

TEST_CASE("shares: a queue with new demand gets nine tenths of the maximum within a run time and a second")
{
	ShareWorld world(4, 5, 1, ShareFaults{});
	for (const int64_t turn : std::views::iota(1, 6)) {
		/* Runs of the previous turn end within 2 s. */
		world.clock.RunUntil(Millis(turn * TURN_TIME.Value()) + RUN_TIME + Millis(500) + Millis(1000));
		CAPTURE(turn);
		CHECK(world.Running(AccountName("account-0")) >= TASKS_WITHIN_MAXIMUM * 9 / 10);
	}
	CHECK(world.breaches == 0);
}

TEST_CASE("shares: accounts without a maximum, and jobs without an account, are not limited")
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

TEST_CASE("shares: an unreadable record is an error, and earlier loans count until their holder reports")
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
	const uint64_t lent = ledger.PartsHeld(account);
	CHECK(lent >= 301000);
	/* This report was made before the grants of the second owner were applied, so the parts still count. */
	ledger.ApplyReport(service, ShareReport{1, 1, 9, 1, {ShareStatement{account, 0, 0}}});
	CHECK(ledger.PartsHeld(account) == lent);
	ledger.ApplyReport(service, ShareReport{1, 2, 1, 1, {ShareStatement{account, 100, 100}}});
	ledger.ApplyReport(ServiceName("t"), ShareReport{1, 2, 1, 1, {ShareStatement{account, 200, 0}}});
	CHECK(ledger.PartsHeld(account) == 300);
}
