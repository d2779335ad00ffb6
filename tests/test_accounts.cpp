/** @file test_accounts.cpp Authentication of callers by key, and access to jobs by account. */
#include "../platform/job_handler.h"
#include "../platform/platform_feed.h"
#include "account/key_hash.h"
#include "job_world.h"
#include "status_sink.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

namespace {

constexpr const char *JOB = "00112233445566aa";  ///< Id of the job.
constexpr const char *KEY_A = "key-of-oyo";      ///< Key of the account "oyo".
constexpr const char *KEY_B = "key-of-kaduna";   ///< Key of the account "kaduna".
constexpr const char *KEY_BAD = "key-of-nobody"; ///< Key of no account.

std::shared_ptr<const AccountList> Accounts(std::initializer_list<std::pair<const char *, const char *>> keys)
{
	std::vector<ClientAccount> out;
	for (const auto &[name, key] : keys) {
		ClientAccount account;
		account.name = AccountName(name);
		account.keys = {HashKey(key)};
		out.push_back(account);
	}
	return std::make_shared<const AccountList>(std::move(out));
}

/** A site feed that confirms the configuration after a delay. */
class SlowFeed : public WorldFeed {
public:
	explicit SlowFeed(Scheduler &scheduler) : scheduler(scheduler) {}

	void Confirm(std::function<void(bool)> done) override
	{
		this->asked++;
		if (this->answers) {
			this->scheduler.After(Millis(20), [done = std::move(done)] { done(true); });
		}
	}

	bool answers = true; ///< Whether requests for confirmation are answered.
	int asked = 0;       ///< Number of requests for confirmation.

private:
	Scheduler &scheduler; ///< Timers for the answers.
};

/** Simulation of one node whose callers need keys. */
class KeyWorld {
public:
	KeyWorld()
			: world(1), node(*world.nodes.front()), feed(node.scheduler),
			  handler(
					  node.scheduler, node.job_api, feed, [] { return Millis(-1000000); },
					  [this](std::function<void(bool)> done) { this->feed.Confirm(std::move(done)); }, node.events)
	{
		SiteJob site_job;
		site_job.spec.id = JobId(JOB);
		site_job.spec.route = RouteName("r-calc");
		site_job.spec.payload = "t";
		site_job.spec.steps = {StepSpec{}};
		site_job.spec.steps.front().demand = Resources{5, 0, 0};
		site_job.spec.steps.front().lasting = true;
		site_job.service = ServiceName("calc");
		this->world.site.AddJob(site_job);
		this->Publish(Accounts({{"oyo", KEY_A}, {"kaduna", KEY_B}}));
		this->world.clock.RunUntil(Millis(3000));
	}

	void Publish(std::shared_ptr<const AccountList> accounts)
	{
		this->world.config.version++;
		this->world.config.accounts = std::move(accounts);
		this->node.job_api.Configure(this->world.config);
	}

	/**
	 * Makes a call and waits half a second.
	 * @param method The HTTP method.
	 * @param key The caller's key; null for none.
	 * @param job Id of the job.
	 * @return HTTP status of the response; 0 if there was none.
	 */
	int Call(const char *method, const char *key, const std::string &job)
	{
		CallerRequest request;
		request.method = method;
		request.target = "/r-calc/" + job;
		request.headers.Add("Host", "h");
		if (key != nullptr) {
			request.headers.Add("Authorization", std::string("Token ") + key);
		}
		request.body = R"({"spec":"t","steps":[{"count":1,"cpu":5,"long-running":true}]})";
		StatusSink sink;
		const auto served = this->handler.Serve(sink, request);
		this->world.clock.RunUntil(this->world.clock.Now() + Millis(500));
		if (served) {
			served->OnCallerDisconnected();
		}
		return sink.status;
	}

	JobWorld world;         ///< The simulated node, log and boxes.
	WorldNode &node;        ///< The only node.
	SlowFeed feed;          ///< Confirms that the configuration is the newest.
	JobHttpHandler handler; ///< Serves the calls.
};

} // namespace

TEST_CASE("accounts: a call without a known key is rejected, and no job is created")
{
	KeyWorld it;
	CHECK(it.Call("POST", nullptr, JOB) == 401);
	CHECK(it.Call("POST", KEY_BAD, JOB) == 401);
	CHECK(it.Call("DELETE", KEY_BAD, JOB) == 401);
	CHECK(it.Call("GET", KEY_BAD, JOB) == 401);
	CHECK(it.node.host.Find(ServiceName("calc"))->Running()->Jobs().empty());
	CHECK(it.Call("POST", KEY_A, JOB) == 200);
}

TEST_CASE("accounts: a key of a newer configuration is not rejected")
{
	KeyWorld it;
	it.node.scheduler.After(Millis(10), [&it] { it.Publish(Accounts({{"oyo", KEY_A}, {"kaduna", KEY_BAD}})); });
	CHECK(it.Call("POST", KEY_BAD, JOB) == 200);
}

TEST_CASE("accounts: an unknown key gets 503, not 401, if the configuration may be outdated")
{
	KeyWorld it;
	it.feed.answers = false;
	CHECK(it.Call("POST", KEY_BAD, JOB) == 503);
	CHECK(it.Call("POST", KEY_A, JOB) == 200);
}

TEST_CASE("accounts: a removed key is rejected; jobs submitted with it go on")
{
	KeyWorld it;
	REQUIRE(it.Call("POST", KEY_A, JOB) == 200);
	it.Publish(Accounts({{"oyo", "another-key"}, {"kaduna", KEY_B}}));
	CHECK(it.Call("GET", KEY_A, JOB) == 401);
	CHECK(it.Call("GET", "another-key", JOB) == 200);
	CHECK(it.node.host.Find(ServiceName("calc"))->Running()->View(JobId(JOB)).phase == JobPhase::JP_RUNNING);
}

TEST_CASE("accounts: another account's job can't be read, cancelled or replaced by its id")
{
	KeyWorld it;
	REQUIRE(it.Call("POST", KEY_A, JOB) == 200);
	CHECK(it.Call("GET", KEY_B, JOB) == 404);
	CHECK(it.Call("DELETE", KEY_B, JOB) == 404);
	CHECK(it.Call("POST", KEY_B, JOB) == 404);
	CHECK(it.Call("POST", KEY_A, JOB) == 200);
	CHECK(it.Call("GET", KEY_A, JOB) == 200);
	const auto &jobs = it.node.host.Find(ServiceName("calc"))->Running()->Jobs();
	REQUIRE(jobs.size() == 1);
	CHECK(jobs.begin()->second.spec.account == AccountName("oyo"));
	CHECK(!jobs.begin()->second.Over());
	CHECK(it.Call("DELETE", KEY_A, JOB) == 200);
	CHECK(jobs.begin()->second.Over());
}

TEST_CASE("accounts: a cancellation by another account in the inbox has no effect, also under a new owner")
{
	KeyWorld it;
	REQUIRE(it.Call("POST", KEY_A, JOB) == 200);
	const PartitionId inbox{TopicOf(ServiceName("calc")), INBOX_PARTITION};
	const std::string key = KeyOf(InboxKey{JobId(JOB), AccountName("kaduna"), true});
	it.node.log.Append(inbox, {KeyedRecord{key, std::string("1")}}, AppendCondition{}, Millis(500),
					   [](const KeyedAppendAnswer &) { /* The outcome is checked below. */ });
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(1500));
	JobWorld::Kill(it.node);
	WorldNode &next = it.world.Boot("node-next");
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(8000));
	const ShardOwner *owner = std::as_const(next.host).Find(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	REQUIRE(owner->Running() != nullptr);
	REQUIRE(owner->Running()->Jobs().contains(JobId(JOB)));
	CHECK(!owner->Running()->Jobs().at(JobId(JOB)).Over());
	CHECK(owner->Running()->Jobs().at(JobId(JOB)).spec.account == AccountName("oyo"));
}

TEST_CASE("accounts: a keyless route accepts calls without a key; its jobs have no account")
{
	KeyWorld it;
	it.world.config.routes.front().keyless = true;
	it.Publish(it.world.config.accounts);
	CHECK(it.Call("POST", nullptr, JOB) == 200);
	CHECK(it.Call("GET", nullptr, JOB) == 200);
	CHECK(it.node.host.Find(ServiceName("calc"))->Running()->Jobs().begin()->second.spec.account == AccountName());
}

TEST_CASE("accounts: many calls with unknown keys cause few confirmations, and known keys aren't delayed")
{
	VirtualScheduler clock{Millis(0)};
	int asked = 0;
	auto accounts = Accounts({{"oyo", KEY_A}});
	KeyCheck keys(
			clock, [&accounts] { return std::shared_ptr<const AccountList>(accounts); },
			[&](std::function<void(bool)> done) {
				asked++;
				clock.After(Millis(5), [done = std::move(done)] { done(true); });
			});
	int refused = 0;
	for (int n = 0; n < 3000; n++) {
		clock.After(Millis(n), [&, n] {
			/* Half of the calls use the same unknown key, the others use a new one each. */
			const KeyHash key = HashKey(n % 2 == 0 ? KEY_BAD : "bad-" + std::to_string(n));
			keys.Check(key, [&](KeyVerdict it) { refused += it == KeyVerdict::KV_UNKNOWN ? 1 : 0; });
			CHECK(keys.Find(HashKey(KEY_A)) != nullptr);
		});
	}
	clock.RunUntil(Millis(4000));
	CHECK(refused == 3000);
	/* At most ten confirmations per second, for three seconds. */
	CHECK(asked <= 31);
}

TEST_CASE("accounts: a rejected key works once a configuration version contains it")
{
	VirtualScheduler clock{Millis(0)};
	auto accounts = Accounts({{"oyo", KEY_A}});
	KeyCheck keys(
			clock, [&] { return accounts; }, [&](const std::function<void(bool)> &done) { done(true); });
	KeyVerdict verdict = KeyVerdict::KV_KNOWN;
	keys.Check(HashKey(KEY_B), [&](KeyVerdict it) { verdict = it; });
	CHECK(verdict == KeyVerdict::KV_UNKNOWN);
	accounts = Accounts({{"oyo", KEY_B}});
	keys.Check(HashKey(KEY_B), [&](KeyVerdict it) { verdict = it; });
	CHECK(verdict == KeyVerdict::KV_KNOWN);
}

TEST_CASE("accounts: the record of a job keeps its account; a record without one yields none")
{
	JobSpec spec;
	spec.id = JobId(JOB);
	spec.route = RouteName("r");
	spec.steps = JobWorld::Chain(1);
	const auto before = DecodeSubmission(spec.id, EncodeSubmission(spec));
	REQUIRE(before);
	CHECK(before->account == AccountName());
	CHECK(MayAccess(before->account, AccountName("oyo")));
	spec.account = AccountName("oyo");
	const auto after = DecodeSubmission(spec.id, EncodeSubmission(spec));
	REQUIRE(after);
	CHECK(*after == spec);
	for (const InboxKey &it : {InboxKey{spec.id, {}, false}, InboxKey{spec.id, spec.account, false},
							   InboxKey{spec.id, {}, true}, InboxKey{spec.id, AccountName("a/b x"), true}}) {
		CHECK(ParseInboxKey(KeyOf(it)) == it);
	}
}

TEST_CASE("accounts: a configuration with invalid accounts is rejected as a whole")
{
	const auto config = [](const std::string &accounts) {
		return R"({"version":7,"routes":[],"services":[],"tenants":)" + accounts + "}";
	};
	const auto valid = DecodeConfig(config(
			R"([{"name":"a","api-keys":["k1","k2"],"weight":2.5,"maximum":{"cpu":100,"mem-mb":200}},{"name":"b","api-keys":[]}])"));
	REQUIRE(valid);
	REQUIRE(valid->accounts);
	const ClientAccount *a = valid->accounts->FindByKey(HashKey("k2"));
	REQUIRE(a != nullptr);
	CHECK(a->name == AccountName("a"));
	CHECK(a->weight == 2.5);
	CHECK(a->maximum == Resources{100, 200, 0});
	CHECK(valid->accounts->FindByKey(HashKey("k3")) == nullptr);
	CHECK(DecodeConfig(config("[]"))->accounts);
	CHECK(!DecodeConfig(R"({"version":7,"routes":[],"services":[]})")->accounts);
	const std::array invalid = {
			R"({})",
			R"(7)",
			R"([7])",
			R"([{"api-keys":[]}])",
			R"([{"name":"a"}])",
			R"([{"name":7,"api-keys":[]}])",
			R"([{"name":"a","api-keys":["k",7]}])",
			R"([{"name":"a","api-keys":[""]}])",
			R"([{"name":"a","api-keys":["k"]},{"name":"b","api-keys":["k"]}])",
			R"([{"name":"a","api-keys":["k"]},{"name":"a","api-keys":["l"]}])",
			R"([{"name":"a","api-keys":[],"weight":-1}])",
			R"([{"name":"a","api-keys":[],"weight":"1"}])",
			R"([{"name":"a","api-keys":[],"maximum":7}])",
			R"([{"name":"a","api-keys":[],"maximum":{"cpu":-1}}])",
			R"([{"name":"a","api-keys":[],"maximum":{"mem-mb":1e30}}])",
	};
	for (const char *it : invalid) {
		CAPTURE(it);
		CHECK(!DecodeConfig(config(it)));
	}
}
