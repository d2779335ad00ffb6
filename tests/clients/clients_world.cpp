/** @file clients_world.cpp A test with node processes, ordinary callers, and a crowd of clients that misbehave. */
#include "clients_world.h"

#include "node_memory.h"

#include <QJsonArray>

#include <algorithm>
#include <ranges>

namespace {

constexpr uint32_t PARTITIONS = 12;            ///< Partitions of each topic.
constexpr uint32_t LOG_LINES_PER_SECOND = 100; ///< Log lines of one kind per second.
constexpr int NODES = 4;                       ///< Number of node processes.
constexpr int BOXES = 6;                       ///< Boxes of each service.
constexpr const char *NODE_CPU = "0.5";        ///< Cores of a node's machine.
constexpr rlim_t DESCRIPTORS = 4096;           ///< Descriptors of a process on the smallest machine.
constexpr uint64_t BYTES_PER_MB = 1024 * 1024; ///< Bytes of a megabyte.
constexpr Millis WARM_UP(3000);                ///< Time for nodes to start and claim their partitions.
constexpr Millis CALM_BEFORE(1500);            ///< Time with ordinary callers only, before the crowd comes.
constexpr Millis WATCH_INTERVAL(50);           ///< Interval of measurements of resident memory.
constexpr Millis QUEUES_INTERVAL(300);         ///< Interval of measurements of the sockets' queues, which take longer.
constexpr Millis PROBE_INTERVAL(200);          ///< Interval of probes.
constexpr Millis SUBMIT_INTERVAL(150);         ///< Interval of ordinary jobs.
constexpr Millis CALL_TIMEOUT(3000);           ///< Time that a caller waits for an answer; sent as the deadline.
constexpr Millis RETRY_DELAY(300);             ///< Time until a caller retries.
constexpr int ATTEMPTS_MAX = 12;               ///< Submissions of a job, after which its caller gives up.
constexpr Millis CALM_AFTER(3000);             ///< Time after the crowd from which a node is calm again.
constexpr Millis READY_TIMEOUT(15000);         ///< Time after the crowd within which the node is ready again.
constexpr Millis SETTLE_TIMEOUT(45000);        ///< Time for all jobs to complete.
constexpr Millis STOP_TIMEOUT(7000);           ///< Time limit of a planned stop.
constexpr Millis RUN_TIME(200);                ///< Run time of all tasks.
constexpr size_t BODY_BYTES_MAX = 262144;      ///< Largest body that the platform's configuration allows.
constexpr int STATUS_OK = 200;                 ///< Success.
constexpr size_t ID_LENGTH = 16;               ///< Digits of an id.
constexpr const char *PAYLOAD = "ordinary";    ///< Payload of ordinary jobs.

JobId OrdinaryId(const std::string &digits)
{
	return JobId(std::string(ID_LENGTH - digits.size(), 'a') + digits);
}

/** @return A step of tasks that take a core each. @param tasks Number of its tasks. */
StepSpec OrdinaryStep(uint32_t tasks)
{
	StepSpec step;
	step.count = tasks;
	step.demand = Resources{1000, 100, 0};
	step.estimate = RUN_TIME;
	return step;
}

/** @return Body of a submission. @param step Its only step. @param padding Bytes that fill the body up. */
std::string BodyOfJob(const StepSpec &step, size_t padding = 0)
{
	QJsonObject json{{"count", static_cast<qint64>(step.count)},
					 {"cpu", static_cast<qint64>(step.demand.cpu)},
					 {"mem-mb", static_cast<qint64>(step.demand.memory)},
					 {"est-runtime-ms", static_cast<qint64>(step.estimate.Value())}};
	if (step.lasting) {
		json["long-running"] = true;
		json["anti-affinity"] = static_cast<qint64>(step.per_box);
	}
	QJsonObject job{{"spec", PAYLOAD}, {"steps", QJsonArray{json}}};
	if (padding > 0) {
		job["note"] = QString(static_cast<qsizetype>(padding), 'n');
	}
	return BodyOf(job);
}

CallerRequest RequestTo(const char *method, const std::string &target, std::string body = {})
{
	CallerRequest request;
	request.method = method;
	request.target = target;
	request.headers.Add("Host", "soak");
	request.headers.Add("X-Deadline-Ms", std::to_string(CALL_TIMEOUT.Value()));
	request.body = std::move(body);
	return request;
}

} // namespace

std::string RequestTimes::Text() const
{
	std::vector<Millis> sorted = this->answered;
	std::ranges::sort(sorted);
	if (sorted.empty()) {
		return "none answered, " + std::to_string(this->failed) + " failed";
	}
	return "median " + std::to_string(sorted[sorted.size() / 2].Value()) + " ms, most " +
		   std::to_string(sorted.back().Value()) + " ms, " + std::to_string(this->failed) + " of " +
		   std::to_string(sorted.size() + this->failed) + " failed";
}

ClientsWorld::ClientsWorld(const ClientsOptions &options)
		: options(options), log(this->scheduler, LOG_LINES_PER_SECOND), random(options.seed),
		  store(this->scheduler, PARTITIONS, options.seed), boxes(this->scheduler, options.seed),
		  fleet(this->scheduler, this->store, this->boxes),
		  caller(this->scheduler, DialLimits{Millis(500), Millis(60000), 8}),
		  prober(this->scheduler, DialLimits{Millis(500), Millis(0), 1}), lasting_job(OrdinaryId("1a57"))
{
}

ClientsWorld::~ClientsWorld()
{
	this->crowd.disconnect();
	if (this->crowd.state() != QProcess::NotRunning) {
		this->crowd.kill();
		this->crowd.waitForFinished();
	}
}

bool ClientsWorld::Start(std::function<void()> done)
{
	this->done = std::move(done);
	if (!this->store.Start() || !this->boxes.Start()) {
		return false;
	}
	this->boxes.site.log = &this->log;
	this->boxes.on_start = [](const BoxName &) {};
	this->boxes.on_restart = [] {};
	this->fleet.Add(BOXES);
	this->PublishConfig();
	this->fleet.Publish();
	this->StartNodes();
	this->WatchMemory();
	this->scheduler.After(WARM_UP, [this] {
		this->SubmitLastingJob();
		this->SubmitNextJob();
		this->scheduler.After(CALM_BEFORE, [this] { this->StartCrowd(); });
	});
	return true;
}

void ClientsWorld::StartNodes()
{
	SoakEnvironment environment{this->options.program, this->options.folder,      this->options.first_port,
								this->store.Port(),    this->boxes.ControlPort(), PARTITIONS};
	environment.descriptors = DESCRIPTORS;
	for (int n = 0; n < NODES; n++) {
		this->nodes.push_back(std::make_unique<SoakNode>(this->scheduler, environment, n, NODE_CPU));
		this->nodes.back()->Start();
	}
	this->peak_bytes.resize(this->nodes.size());
}

void ClientsWorld::PublishConfig()
{
	QJsonArray routes;
	QJsonArray services;
	for (const char *name : {"calc", "grid"}) {
		services.append(QJsonObject{{"name", name}, {"admission-check", true}});
		routes.append(QJsonObject{{"name", name},
								  {"host", "soak"},
								  {"path-prefix", QString("/%1/").arg(name)},
								  {"service", name},
								  {"auth-exempt", std::string_view(name) != "grid"},
								  {"priority", 0},
								  {"max-attempts", 3},
								  {"stretch", 1.6},
								  {"target-latency-ms", 600}});
	}
	const QJsonArray accounts{QJsonObject{{"name", "soak"}, {"api-keys", QJsonArray{"key-1"}}, {"weight", 1}}};
	const QJsonObject json{{"version", 1}, {"routes", routes}, {"services", services}, {"tenants", accounts}};
	this->store.store.Append(PartitionId{"keyed.op", 0}, {KeyedRecord{"config", BodyOf(json)}}, AppendCondition{});
}

void ClientsWorld::Register(const JobId &id, JobSpec spec)
{
	SiteJob job;
	job.spec = std::move(spec);
	job.spec.id = id;
	job.service = ServiceName("calc");
	job.run_time = RUN_TIME;
	this->boxes.site.AddJob(job);
}

void ClientsWorld::StartCrowd()
{
	if (this->options.kind.empty()) {
		this->OnCrowdLeft();
		return;
	}
	const std::unique_ptr<ClientKind> kind = MakeClientKind(this->options.kind);
	if (const std::optional<JobSpec> job = kind->Job(); job) {
		const uint32_t most = kind->RequestsMax() > 0 ? kind->RequestsMax() : CROWD_JOBS;
		std::ranges::for_each(std::views::iota(0U, std::min(most, CROWD_JOBS)),
							  [this, &job](uint32_t it) { this->Register(CrowdJobId(it), *job); });
	}
	this->crowd_present = true;
	this->Probe();
	this->crowd.setProcessChannelMode(QProcess::ForwardedChannels);
	QObject::connect(&this->crowd, &QProcess::finished, &this->crowd, [this] { this->OnCrowdLeft(); });
	const quint16 port = PortOf(this->nodes.front()->FirstPort(), *DoorNamed(this->options.door));
	this->crowd.start(QString::fromStdString(this->options.self),
					  {"crowd", "--kind", QString::fromStdString(this->options.kind), "--door",
					   QString::fromStdString(this->options.door), "--port", QString::number(port), "--clients",
					   QString::number(this->options.clients), "--seconds",
					   QString::number(this->options.span.Value() / MS_PER_SECOND)});
}

void ClientsWorld::OnCrowdLeft()
{
	this->crowd_present = false;
	this->crowd_left_at = this->scheduler.Now();
	this->scheduler.After(CALM_AFTER, [this] { this->AwaitReady(); });
}

void ClientsWorld::WatchMemory()
{
	if (this->scheduler.Now() >= this->queues_due) {
		this->queued = QueuedBytes();
		this->queues_due = this->scheduler.Now() + QUEUES_INTERVAL;
	}
	for (size_t n = 0; n < this->nodes.size(); n++) {
		const uint64_t resident = ResidentBytes(this->nodes[n]->Pid());
		uint64_t bytes = resident;
		for (quint16 port = 0; port < PORTS_PER_NODE; port++) {
			bytes += this->queued[static_cast<quint16>(this->nodes[n]->FirstPort() + port)];
		}
		if (bytes > this->peak_bytes[n]) {
			this->peak_bytes[n] = bytes;
			this->peak_resident = n == 0 ? resident : this->peak_resident;
		}
		const bool excess = bytes > static_cast<uint64_t>(this->options.memory_mb) * BYTES_PER_MB;
		if (excess && this->nodes[n]->IsHealthy()) {
			this->ReportExcess(n);
		}
	}
	this->scheduler.After(WATCH_INTERVAL, [this] { this->WatchMemory(); });
}

void ClientsWorld::ReportExcess(size_t node)
{
	this->failures.push_back(this->nodes[node]->Address() + " is beyond the " +
							 std::to_string(this->options.memory_mb) + " MB of its machine");
	/* Ends the crowd, too: the load is bounded. */
	this->nodes[node]->Kill(WATCH_INTERVAL);
	this->crowd.kill();
}

void ClientsWorld::Call(quint16 port, HttpCaller &to, const CallerRequest &request, const HttpCaller::Done &then)
{
	to.Call(HttpCallSpec{"127.0.0.1:" + std::to_string(port), request, CALL_TIMEOUT}, then);
}

void ClientsWorld::SubmitLastingJob()
{
	StepSpec step = OrdinaryStep(2);
	step.lasting = true;
	step.per_box = 1;
	JobSpec spec;
	spec.payload = PAYLOAD;
	spec.steps = {step};
	this->Register(this->lasting_job, spec);
	this->Call(this->nodes.back()->FirstPort(), this->caller,
			   RequestTo("POST", "/calc/" + this->lasting_job.Value(), BodyOfJob(step)),
			   [this](const HttpReply &reply) {
				   if (reply.status != STATUS_OK) {
					   this->failures.push_back("the long-running job was not accepted before the crowd came");
				   }
			   });
}

void ClientsWorld::SubmitNextJob()
{
	if (!this->submitting) {
		return;
	}
	auto job = std::make_unique<OrdinaryJob>();
	job->id = OrdinaryId(std::to_string(this->jobs.size()));
	JobSpec spec;
	spec.payload = PAYLOAD;
	spec.steps = {OrdinaryStep(2)};
	this->Register(job->id, spec);
	this->jobs.push_back(std::move(job));
	this->Submit(*this->jobs.back());
	this->scheduler.After(SUBMIT_INTERVAL, [this] { this->SubmitNextJob(); });
}

void ClientsWorld::Submit(OrdinaryJob &job)
{
	job.attempts++;
	const SoakNode &node = *this->nodes[this->random() % this->nodes.size()];
	this->Call(node.FirstPort(), this->caller, RequestTo("POST", "/calc/" + job.id.Value(), BodyOfJob(OrdinaryStep(2))),
			   [this, &job](const HttpReply &reply) {
				   if (reply.status == STATUS_OK) {
					   job.accepted_at = this->scheduler.Now();
				   } else if (job.attempts < ATTEMPTS_MAX) {
					   this->scheduler.After(RETRY_DELAY, [this, &job] { this->Submit(job); });
				   } else {
					   this->failures.push_back("an ordinary job was not accepted in " + std::to_string(ATTEMPTS_MAX) +
												" attempts: " + job.id.Value());
				   }
			   });
}

void ClientsWorld::Poll(OrdinaryJob &job)
{
	job.poll_pending = true;
	const SoakNode &node = *this->nodes[this->random() % this->nodes.size()];
	this->Call(node.FirstPort(), this->caller, RequestTo("GET", "/calc/" + job.id.Value()),
			   [this, &job](const HttpReply &reply) {
				   job.poll_pending = false;
				   job.completed = reply.status == STATUS_OK && JsonOf(reply.body)["state"] == "completed";
				   if (JsonOf(reply.body)["state"] == "failed") {
					   this->failures.push_back("an ordinary job failed: " + job.id.Value());
				   }
			   });
}

void ClientsWorld::Probe()
{
	if (!this->crowd_present) {
		return;
	}
	const auto note = [](RequestTimes &times) {
		return [&times](const HttpReply &reply) {
			if (reply.status == STATUS_OK) {
				times.answered.push_back(reply.took);
			} else {
				times.failed++;
			}
		};
	};
	const quint16 first = this->nodes.front()->FirstPort();
	this->Call(first, this->prober, RequestTo("GET", "/calc/"), note(this->request_times));
	this->Call(PortOf(first, Door::DO_READY), this->prober, RequestTo("GET", "/v1/ready"), note(this->ready_times));
	this->scheduler.After(PROBE_INTERVAL, [this] { this->Probe(); });
}

void ClientsWorld::AwaitReady()
{
	const quint16 port = PortOf(this->nodes.front()->FirstPort(), Door::DO_READY);
	this->Call(port, this->prober, RequestTo("GET", "/v1/ready"), [this](const HttpReply &reply) {
		if (reply.status == STATUS_OK) {
			this->CheckLargeRequest();
		} else if (this->scheduler.Now() - this->crowd_left_at < READY_TIMEOUT) {
			this->scheduler.After(RETRY_DELAY, [this] { this->AwaitReady(); });
		} else {
			this->failures.push_back("the node does not say that it is ready after the crowd has left");
			this->AwaitSettled();
		}
	});
}

void ClientsWorld::CheckLargeRequest()
{
	const StepSpec step = OrdinaryStep(2);
	const size_t small = BodyOfJob(step, 1).size() - 1;
	const std::string body = BodyOfJob(step, BODY_BYTES_MAX - small);
	const JobId id = OrdinaryId("1a96e");
	JobSpec spec;
	spec.payload = PAYLOAD;
	spec.steps = {step};
	this->Register(id, spec);
	this->Call(this->nodes.front()->FirstPort(), this->prober, RequestTo("POST", "/calc/" + id.Value(), body),
			   [this](const HttpReply &reply) {
				   if (reply.status != STATUS_OK) {
					   this->failures.push_back("a request of the largest size was not served in calm: status " +
												std::to_string(reply.status));
				   }
				   this->submitting = false;
				   this->AwaitSettled();
			   });
}

bool ClientsWorld::Settled() const
{
	const bool all_done = std::ranges::all_of(this->jobs, [](const auto &it) { return it->completed; });
	return all_done && this->boxes.site.Running(this->lasting_job) == 2;
}

void ClientsWorld::AwaitSettled()
{
	this->submitting = false;
	if (this->Settled() || this->scheduler.Now() - this->crowd_left_at > SETTLE_TIMEOUT) {
		this->Finish();
		return;
	}
	for (const auto &job : this->jobs) {
		if (job->accepted_at && !job->completed && !job->poll_pending) {
			this->Poll(*job);
		}
	}
	this->scheduler.After(RETRY_DELAY, [this] { this->AwaitSettled(); });
}

void ClientsWorld::Finish()
{
	const auto incomplete = std::ranges::count_if(this->jobs, [](const auto &it) { return !it->completed; });
	if (incomplete > 0) {
		this->failures.push_back(std::to_string(incomplete) + " of " + std::to_string(this->jobs.size()) +
								 " ordinary jobs have not completed");
	}
	if (this->boxes.site.Running(this->lasting_job) != 2) {
		this->failures.push_back("the long-running job does not run");
	}
	std::ranges::for_each(this->nodes, [](const auto &it) { it->Finish(); });
	this->scheduler.After(STOP_TIMEOUT, [this] {
		for (const auto &node : this->nodes) {
			if (!node->HasExited()) {
				this->failures.push_back(node->Address() + " did not stop in time");
			}
			if (!node->unexpected_exit.empty()) {
				this->failures.push_back(node->unexpected_exit);
			}
		}
		this->done();
	});
}

std::vector<std::string> ClientsWorld::Failures() const
{
	std::vector<std::string> out = this->failures;
	std::ranges::copy(this->boxes.site.violations, std::back_inserter(out));
	return out;
}

std::string ClientsWorld::Summary() const
{
	std::string peaks;
	std::ranges::for_each(this->peak_bytes, [&peaks](uint64_t it) {
		peaks += (peaks.empty() ? "" : " ") + std::to_string(it / BYTES_PER_MB);
	});
	const auto again = std::ranges::count_if(this->jobs, [](const auto &it) { return it->attempts > 1; });
	return "kind=" + this->options.kind + " door=" + this->options.door +
		   " seed=" + std::to_string(this->options.seed) + " peak_mb=" + peaks + " (resident " +
		   std::to_string(this->peak_resident / BYTES_PER_MB) + "); requests: " + this->request_times.Text() +
		   "; ready: " + this->ready_times.Text() + "; jobs: " + std::to_string(this->jobs.size()) + ", " +
		   std::to_string(again) + " tried again; broken=" + std::to_string(this->Failures().size());
}
