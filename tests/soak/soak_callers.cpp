/** @file soak_callers.cpp Callers of the soak test: they submit, query and cancel jobs and check the answers. */
#include "soak_world.h"

#include <QJsonArray>

#include <algorithm>

namespace {

constexpr Millis CALL_TIMEOUT(3000);      ///< Time that a caller waits for an answer; sent as the deadline.
constexpr Millis CALL_TIMEOUT_SLACK(400); ///< Added to CALL_TIMEOUT before the caller closes the connection.
constexpr Millis RETRY_DELAY(300);        ///< Time until a caller retries.
constexpr Millis VISIBILITY_DELAY(3000);  ///< Time after which every node must know an accepted job.
constexpr int MAX_ATTEMPTS = 8;           ///< Maximum number of submissions of a job.
constexpr uint32_t LASTING_ONE_IN = 8;    ///< One job of this many is long-running.
constexpr uint32_t FAILING_ONE_IN = 20;   ///< One job of this many always fails.
constexpr size_t CRASHING_ONE_IN = 17;    ///< One job of this many crashes its boxes, unless it is long-running.
constexpr uint32_t CANCELLED_ONE_IN = 10; ///< One job of this many is cancelled.
constexpr size_t ROAMING_ONE_IN = 4;      ///< One job of this many is submitted on the route that changes its service.

QJsonObject StepJson(const StepSpec &step)
{
	QJsonObject json{{"count", static_cast<qint64>(step.count)},
					 {"cpu", static_cast<qint64>(step.demand.cpu)},
					 {"mem-mb", static_cast<qint64>(step.demand.memory)},
					 {"est-runtime-ms", static_cast<qint64>(step.estimate.Value())}};
	if (!step.after.empty()) {
		QJsonArray after;
		for (const uint32_t it : step.after) {
			after.append(static_cast<qint64>(it));
		}
		json["after"] = after;
	}
	if (step.lasting) {
		json["long-running"] = true;
		json["anti-affinity"] = static_cast<qint64>(step.per_box);
		json["may_miss"] = static_cast<qint64>(step.absent_max.value_or(0));
	}
	return json;
}

StepSpec PlainStep(uint32_t count, Millis estimate)
{
	StepSpec step;
	step.count = count;
	step.demand = Resources{1000, 100, 0};
	step.estimate = estimate;
	return step;
}

} // namespace

std::unique_ptr<SoakJob> SoakWorld::MakeJob()
{
	auto job = std::make_unique<SoakJob>();
	const std::string digits = std::to_string(this->jobs.size());
	job->route = this->RandomBelow(2) == 0 ? "calc" : "grid";
	job->spec.id = JobId(std::string(16 - digits.size(), 'a') + digits);
	job->spec.payload = "payload of " + digits;
	SiteJob site_job;
	site_job.run_time = this->RandomMillis(100, 900);
	site_job.fail_first = this->RandomBelow(10) == 0 ? 1 : 0;
	job->expected = "completed";
	if (this->RandomBelow(LASTING_ONE_IN) == 0) {
		StepSpec step = PlainStep(2 + this->RandomBelow(2), site_job.run_time);
		step.lasting = true;
		step.per_box = 1;
		step.absent_max = 1;
		job->spec.steps = {step};
		job->expected = "running";
		job->cancel_wanted = this->RandomBelow(2) == 0;
	} else {
		StepSpec last = PlainStep(1, site_job.run_time);
		last.after = {0};
		job->spec.steps = {PlainStep(1 + this->RandomBelow(4), site_job.run_time), last};
		job->cancel_wanted = this->RandomBelow(CANCELLED_ONE_IN) == 0;
		if (this->RandomBelow(FAILING_ONE_IN) == 0) {
			site_job.fail_first = site_job.failures_max;
			job->expected = "failed";
		}
		if (this->jobs.size() % CRASHING_ONE_IN == CRASHING_ONE_IN - 1) {
			site_job.crashing_tasks = {0};
			job->expected = "failed";
		}
	}
	QJsonArray steps;
	for (const StepSpec &it : job->spec.steps) {
		steps.append(StepJson(it));
	}
	job->body = BodyOf(QJsonObject{{"spec", QString::fromStdString(job->spec.payload)}, {"steps", steps}});
	site_job.spec = job->spec;
	site_job.service = ServiceName(job->route);
	if (this->jobs.size() % ROAMING_ONE_IN == 0) {
		job->route = ROAMING_ROUTE;
		site_job.later_services = {ServiceName("calc"), ServiceName("grid")};
	}
	this->boxes.site.AddJob(site_job);
	return job;
}

void SoakWorld::SubmitNextJob()
{
	if (this->load_ended) {
		return;
	}
	this->jobs.push_back(this->MakeJob());
	SoakJob &job = *this->jobs.back();
	this->Submit(job);
	if (job.cancel_wanted) {
		this->scheduler.After(this->RandomMillis(300, 4000), [this, &job] { this->Cancel(job); });
	}
	/* The longest interval is twice the mean one. */
	constexpr int64_t DOUBLE_SECOND_MS = 2000;
	this->scheduler.After(this->RandomMillis(1, DOUBLE_SECOND_MS / this->options.jobs_per_second),
						  [this] { this->SubmitNextJob(); });
}

void SoakWorld::Send(SoakNode &node, const char *method, const std::string &path, const std::string &body,
					 const std::function<void(const HttpReply &)> &then)
{
	HttpCallSpec spec{node.Address(), {}, CALL_TIMEOUT + CALL_TIMEOUT_SLACK};
	spec.request.method = method;
	spec.request.target = path;
	spec.request.headers.Add("Host", "soak");
	spec.request.headers.Add("X-Deadline-Ms", std::to_string(CALL_TIMEOUT.Value()));
	spec.request.headers.Add("Authorization", "Token " + this->keys.back());
	spec.request.body = body;
	const Millis sent = this->scheduler.Now();
	const bool stopping = node.InUndisturbedStop();
	this->caller.Call(
			spec, [this, then, sent, stopping, &node, method, path, key = this->keys.back()](const HttpReply &reply) {
				constexpr int STATUS_UNAUTHORIZED = 401;
				if (reply.result == CallResult::CR_ANSWERED && reply.status == STATUS_UNAUTHORIZED &&
					std::ranges::find(this->keys, key) != this->keys.end()) {
					this->failures.push_back(std::string("a valid key was refused by ") + node.Address() + ": " +
											 method + " " + path);
				}
				const bool cut = reply.result == CallResult::CR_UNKNOWN && this->scheduler.Now() - sent < CALL_TIMEOUT;
				/* During a planned stop a request, on an open or a new connection, is served whole or not read at
				 * all, so it never ends with a lost connection before the timeout. */
				if (cut && stopping && node.InUndisturbedStop() && this->active_store_faults == 0) {
					this->failures.push_back(std::string("a planned stop of ") + node.Address() + " cut off " + method +
											 " " + path);
				}
				then(reply);
			});
}

void SoakWorld::Submit(SoakJob &job)
{
	SoakNode &node = this->RandomNode();
	job.attempts++;
	this->Send(node, "POST", "/" + job.route + "/" + job.spec.id.Value(), job.body,
			   [this, &job](const HttpReply &reply) { this->OnSubmitReply(job, reply); });
}

void SoakWorld::OnSubmitReply(SoakJob &job, const HttpReply &reply)
{
	constexpr int STATUS_OK = 200;
	const bool refused = reply.result == CallResult::CR_NOT_SENT ||
						 (reply.result == CallResult::CR_ANSWERED &&
						  (reply.status == 503 || reply.status == 429 || reply.status == 404));
	if (reply.result == CallResult::CR_ANSWERED && reply.status == STATUS_OK) {
		job.accepted_at = this->scheduler.Now();
		if (this->RandomBelow(3) == 0) {
			this->scheduler.After(VISIBILITY_DELAY, [this, &job] { this->PollState(job); });
		}
		return;
	}
	job.uncertain = job.uncertain || !refused;
	if (job.attempts < MAX_ATTEMPTS && !job.accepted_at) {
		this->scheduler.After(RETRY_DELAY, [this, &job] { this->Submit(job); });
	}
}

void SoakWorld::Cancel(SoakJob &job)
{
	this->boxes.site.JobOf(job.spec.id).cancel_sent = true;
	this->Send(this->RandomNode(), "DELETE", "/" + job.route + "/" + job.spec.id.Value(), {},
			   [this, &job](const HttpReply &reply) {
				   if (reply.result == CallResult::CR_ANSWERED && reply.status == 200) {
					   job.cancelled = true;
					   this->boxes.site.JobOf(job.spec.id).cancelled_at = this->scheduler.Now();
				   } else {
					   this->scheduler.After(RETRY_DELAY, [this, &job] { this->Cancel(job); });
				   }
			   });
}

void SoakWorld::PollState(SoakJob &job)
{
	if (job.poll_pending) {
		return;
	}
	job.poll_pending = true;
	this->Send(this->RandomNode(), "GET", "/" + job.route + "/" + job.spec.id.Value(), {},
			   [this, &job](const HttpReply &reply) {
				   job.poll_pending = false;
				   if (reply.result != CallResult::CR_ANSWERED) {
					   return;
				   }
				   if (reply.status == 200) {
					   job.state = JsonOf(reply.body)["state"].toString().toStdString();
				   } else if (reply.status == 410 && job.accepted_at &&
							  this->scheduler.Now() - *job.accepted_at >= VISIBILITY_DELAY) {
					   this->failures.push_back("an accepted job is unknown: " + job.spec.id.Value());
				   }
			   });
}
