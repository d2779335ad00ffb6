/** @file client_kind.cpp Kinds of clients that misbehave. */
#include "client_kind.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace {

constexpr size_t BODY_BYTES = 262144;          ///< Largest body that the platform's configuration allows.
constexpr size_t BODY_BYTES_WITHHELD = 100;    ///< Bytes that unfinished bodies lack.
constexpr size_t HUGE_BODY_BYTES = 1UL << 30U; ///< Stated length of bodies far over the limit.
constexpr size_t HUGE_BODY_SENT = 4UL << 20U;  ///< Bytes of such a body that are sent.
constexpr size_t CHUNKED_BYTES = 200000;       ///< Bytes of a body in chunks of one byte.
constexpr uint32_t WIDE_JOB_TASKS = 20000;     ///< Tasks of a wide job: the most that a node accepts.
constexpr uint32_t DEEP_JOB_STEPS = 4000;      ///< Steps of a deep job.
constexpr int64_t ONE_CORE = 1000;             ///< Thousandths of a core.
constexpr uint32_t LARGE_JOBS = 40;            ///< Wide or deep jobs that are submitted.
constexpr size_t JOB_ID_LENGTH = 16;           ///< Digits of an id.
constexpr const char *CROWD_PAYLOAD = "crowd"; ///< Payload of the clients' jobs.

/** Names of the doors, by value. */
constexpr std::array<const char *, 6> DOOR_NAMES{"jobs", "no-route", "no-key", "ready", "metrics", "nodes"};
/** Offsets of the doors' ports from the first one, by value. */
constexpr std::array<quint16, 6> DOOR_PORTS{0, 0, 0, 1, 3, 2};

/** @return A text as often as it fits into the largest body. @param start Start of the body. @param text The text.
 * @param end End of the body. */
std::string Repeated(std::string start, const std::string &text, const std::string &end)
{
	start.reserve(BODY_BYTES);
	while (start.size() + text.size() + end.size() <= BODY_BYTES) {
		start += text;
	}
	return start + end;
}

/** @return A step without demands. @param tasks Number of its tasks. */
StepSpec EmptyStep(uint32_t tasks)
{
	StepSpec step;
	step.count = tasks;
	return step;
}

/** @return A job of the clients. @param steps Its steps. */
JobSpec CrowdJob(std::vector<StepSpec> steps)
{
	JobSpec job;
	job.payload = CROWD_PAYLOAD;
	job.steps = std::move(steps);
	return job;
}

/** Sends whole bodies of the largest size, one after another. */
class WholeBodies : public ClientKind {
public:
	WholeBodies() { this->body = Repeated(R"({"spec":"crowd","steps":[{}],"note":")", "n", R"("})"); }
	[[nodiscard]] std::optional<JobSpec> Job() const override { return CrowdJob({EmptyStep(1)}); }
};

/** Sends bodies of the largest size but for the last bytes. */
class UnfinishedBodies : public WholeBodies {
public:
	[[nodiscard]] size_t Withheld() const override { return BODY_BYTES_WITHHELD; }
	[[nodiscard]] ReadMode Reading() const override { return ReadMode::RM_NOTHING; }
	[[nodiscard]] std::optional<JobSpec> Job() const override { return std::nullopt; }
};

/** Sends bodies a byte at a time. */
class SlowBodies : public UnfinishedBodies {
public:
	[[nodiscard]] SendPace Pace() const override { return SendPace{1, SLOW_INTERVAL}; }
};

/** Sends heads a byte at a time. */
class SlowHeads : public ClientKind {
public:
	[[nodiscard]] SendPace Pace() const override { return SendPace{1, SLOW_INTERVAL}; }
	[[nodiscard]] std::string Head(Door /*door*/, const JobId & /*job*/) const override { return {}; }
	[[nodiscard]] const std::string &Body() const override { return this->head; }

private:
	std::string head = "GET /calc/ HTTP/1.1\r\nHost: soak\r\nNote: " + std::string(1000, 'n') + "\r\n\r\n";
};

/** Connects and sends nothing. */
class SilentClients : public SlowHeads {
public:
	[[nodiscard]] size_t Withheld() const override { return this->Body().size(); }
};

/** Sends half a request and closes its sending side. */
class HalfClosed : public UnfinishedBodies {
public:
	[[nodiscard]] bool HalfCloses() const override { return true; }
};

/** Sends bodies in chunks of one byte. */
class OneByteChunks : public ClientKind {
public:
	OneByteChunks()
	{
		const std::string json =
				"{\"spec\":\"crowd\",\"steps\":[{}],\"note\":\"" + std::string(CHUNKED_BYTES, 'n') + "\"}";
		std::ranges::for_each(json, [this](char c) { this->body.append("1\r\n").append(1, c).append("\r\n"); });
		this->body += "0\r\n\r\n";
	}
	[[nodiscard]] std::optional<JobSpec> Job() const override { return CrowdJob({EmptyStep(1)}); }

protected:
	[[nodiscard]] std::string FramingFields() const override { return "Transfer-Encoding: chunked\r\n"; }
};

/** Sends bodies far over the limit, with a length that says so. */
class HugeBodies : public ClientKind {
public:
	HugeBodies() { this->body = std::string(HUGE_BODY_SENT, 'h'); }

protected:
	[[nodiscard]] std::string FramingFields() const override
	{
		return "Content-Length: " + std::to_string(HUGE_BODY_BYTES) + "\r\n";
	}
};

/** Sends bodies far over the limit, in one chunk after another. */
class HugeChunks : public HugeBodies {
public:
	HugeChunks()
	{
		const std::string chunk = "10000\r\n" + std::string(0x10000, 'h') + "\r\n";
		this->body.clear();
		while (this->body.size() < HUGE_BODY_SENT) {
			this->body += chunk;
		}
	}

protected:
	[[nodiscard]] std::string FramingFields() const override { return "Transfer-Encoding: chunked\r\n"; }
};

/** Sends bodies of the largest size that consist of very many parts. */
class ManyParts : public ClientKind {
public:
	/** @param start Start of the body. @param part A part, repeated as often as it fits. @param end End of the body. */
	ManyParts(const std::string &start, const std::string &part, const std::string &end)
	{
		this->body = Repeated(start, part, end);
	}
};

/** Sends requests for the state of a job without reading the answers. */
class UnreadAnswers : public ClientKind {
public:
	[[nodiscard]] ReadMode Reading() const override { return ReadMode::RM_NOTHING; }
	[[nodiscard]] bool Pipelines() const override { return true; }

protected:
	[[nodiscard]] const char *Method() const override { return "GET"; }
	[[nodiscard]] std::string FramingFields() const override { return {}; }
};

/** Sends requests for the state of a job and reads the answers a byte at a time. */
class SlowReaders : public UnreadAnswers {
public:
	[[nodiscard]] ReadMode Reading() const override { return ReadMode::RM_SLOWLY; }
};

/** Submits a few jobs of very many tasks. */
class WideJobs : public ClientKind {
public:
	/** @param cpu Demand of each task, in thousandths of a core. */
	explicit WideJobs(int64_t cpu) : step(EmptyStep(WIDE_JOB_TASKS))
	{
		this->step.demand.cpu = cpu;
		this->body = R"({"spec":"crowd","steps":[{"count":)" + std::to_string(WIDE_JOB_TASKS) + R"(,"cpu":)" +
					 std::to_string(cpu) + "}]}";
	}
	[[nodiscard]] std::optional<JobSpec> Job() const override { return CrowdJob({this->step}); }
	[[nodiscard]] uint32_t RequestsMax() const override { return LARGE_JOBS; }

private:
	StepSpec step; ///< The only step.
};

/** Submits a few jobs of very many steps. */
class DeepJobs : public ClientKind {
public:
	/** @param cpu Demand of each task, in thousandths of a core. */
	explicit DeepJobs(int64_t cpu) : step(EmptyStep(1))
	{
		this->step.demand.cpu = cpu;
		const std::string text = R"({"cpu":)" + std::to_string(cpu) + "}";
		this->body = R"({"spec":"crowd","steps":[)" + text;
		for (uint32_t n = 1; n < DEEP_JOB_STEPS; n++) {
			this->body += "," + text;
		}
		this->body += "]}";
	}
	[[nodiscard]] std::optional<JobSpec> Job() const override
	{
		return CrowdJob(std::vector<StepSpec>(DEEP_JOB_STEPS, this->step));
	}
	[[nodiscard]] uint32_t RequestsMax() const override { return LARGE_JOBS; }

private:
	StepSpec step; ///< Each of the steps.
};

/** Submits small jobs with a deadline that no clock can represent. */
class EndlessDeadlines : public ClientKind {
public:
	EndlessDeadlines() { this->body = R"({"spec":"crowd","steps":[{}]})"; }
	[[nodiscard]] std::optional<JobSpec> Job() const override { return CrowdJob({EmptyStep(1)}); }
	[[nodiscard]] uint32_t RequestsMax() const override { return CROWD_JOBS; }

protected:
	[[nodiscard]] std::string FramingFields() const override
	{
		return ClientKind::FramingFields() + "X-Deadline-Ms: 9223372036854775807\r\n";
	}
};

/** Sends other nodes' frames that are announced as very long and never end. */
class UnfinishedFrames : public ClientKind {
public:
	UnfinishedFrames() { this->body = std::string("\x00\x00\x00\x03", 4) + std::string(HUGE_BODY_SENT, 'f'); }
	[[nodiscard]] std::string Head(Door /*door*/, const JobId & /*job*/) const override { return {}; }
	[[nodiscard]] ReadMode Reading() const override { return ReadMode::RM_NOTHING; }
};

/** Makes clients of one kind. */
using MakeKind = std::function<std::unique_ptr<ClientKind>()>;

/** @return All kinds with their names. */
const std::vector<std::pair<std::string, MakeKind>> &AllKinds()
{
	static const std::vector<std::pair<std::string, MakeKind>> all{
			{"whole-bodies", [] { return std::make_unique<WholeBodies>(); }},
			{"unfinished-bodies", [] { return std::make_unique<UnfinishedBodies>(); }},
			{"slow-bodies", [] { return std::make_unique<SlowBodies>(); }},
			{"slow-heads", [] { return std::make_unique<SlowHeads>(); }},
			{"silent", [] { return std::make_unique<SilentClients>(); }},
			{"half-closed", [] { return std::make_unique<HalfClosed>(); }},
			{"one-byte-chunks", [] { return std::make_unique<OneByteChunks>(); }},
			{"huge-bodies", [] { return std::make_unique<HugeBodies>(); }},
			{"huge-chunks", [] { return std::make_unique<HugeChunks>(); }},
			{"many-steps", [] { return std::make_unique<ManyParts>(R"({"steps":[{})", ",{}", "]}"); }},
			{"many-after", [] { return std::make_unique<ManyParts>(R"({"steps":[{},{"after":[0)", ",0", "]}]}"); }},
			{"many-keys", [] { return std::make_unique<ManyParts>(R"({"a":0)", R"(,"b":0)", "}"); }},
			{"deep-nesting", [] { return std::make_unique<ManyParts>(R"({"steps":)", "[", ""); }},
			{"unread-answers", [] { return std::make_unique<UnreadAnswers>(); }},
			{"slow-readers", [] { return std::make_unique<SlowReaders>(); }},
			{"wide-jobs", [] { return std::make_unique<WideJobs>(ONE_CORE); }},
			{"deep-jobs", [] { return std::make_unique<DeepJobs>(ONE_CORE); }},
			{"wide-jobs-without-demand", [] { return std::make_unique<WideJobs>(0); }},
			{"deep-jobs-without-demand", [] { return std::make_unique<DeepJobs>(0); }},
			{"endless-deadlines", [] { return std::make_unique<EndlessDeadlines>(); }},
			{"unfinished-frames", [] { return std::make_unique<UnfinishedFrames>(); }},
	};
	return all;
}

} // namespace

std::optional<Door> DoorNamed(const std::string &name)
{
	const auto it = std::ranges::find(DOOR_NAMES, name);
	return it == DOOR_NAMES.end() ? std::nullopt : std::optional(static_cast<Door>(it - DOOR_NAMES.begin()));
}

quint16 PortOf(quint16 first_port, Door door)
{
	return static_cast<quint16>(first_port + DOOR_PORTS[static_cast<size_t>(door)]);
}

JobId CrowdJobId(uint32_t number)
{
	const std::string digits = std::to_string(number);
	return JobId(std::string(JOB_ID_LENGTH - digits.size(), 'c') + digits);
}

std::string ClientKind::Head(Door door, const JobId &job) const
{
	std::string path = "/calc/" + job.Value();
	if (door == Door::DO_NO_ROUTE) {
		path = "/nowhere/" + job.Value();
	} else if (door == Door::DO_NO_KEY) {
		path = "/grid/" + job.Value();
	} else if (door == Door::DO_READY) {
		path = "/v1/ready";
	} else if (door == Door::DO_METRICS) {
		path = "/metrics";
	}
	return std::string(this->Method()) + " " + path + " HTTP/1.1\r\nHost: soak\r\n" + this->FramingFields() + "\r\n";
}

std::string ClientKind::FramingFields() const
{
	return "Content-Length: " + std::to_string(this->Body().size()) + "\r\n";
}

std::unique_ptr<ClientKind> MakeClientKind(const std::string &name)
{
	const auto it = std::ranges::find(AllKinds(), name, [](const auto &kind) { return kind.first; });
	return it == AllKinds().end() ? nullptr : it->second();
}

std::vector<std::string> ClientKindNames()
{
	std::vector<std::string> names;
	std::ranges::transform(AllKinds(), std::back_inserter(names), [](const auto &kind) { return kind.first; });
	return names;
}
