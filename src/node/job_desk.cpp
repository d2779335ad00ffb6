/** @file job_desk.cpp What callers may ask of jobs, on any node. */
#include "job_desk.h"

#include <algorithm>

namespace {

constexpr Millis
		APPEND_PATIENCE(700);        ///< A try without an answer is repeated after this; a slow log takes a few 100 ms.
constexpr Millis REFUSED_AGAIN(40);  ///< Pause before another try after the log refused.
constexpr Millis REFUSE_WITHIN(120); ///< What the log refuses for so long is refused to the caller: another node, or a
									 ///< later try, serves it sooner (a quarter of the shortest objective is 150 ms).
constexpr Millis ANSWER_MARGIN(60);  ///< Time that an answer takes to the caller.

} // namespace

JobDesk::JobDesk(Scheduler &scheduler, KeyedLog &log, ShardHost &host, OwnerLookup &lookup, EventLog &events)
		: scheduler(scheduler), log(log), host(host), lookup(lookup), events(events)
{
}

void JobDesk::Configure(const JobConfig &config)
{
	if (config.version > this->config.version) {
		this->config = config;
		this->host.Configure(config);
	}
}

void JobDesk::Submit(const JobSpec &spec, const ServiceName &service, Millis deadline, Done done)
{
	auto it = std::make_shared<Pending>(Pending{PartitionId{TopicOf(service), INBOX_PART},
												KeyedRecord{spec.id.Value(), EncodeSubmission(spec)},
												this->scheduler.Now(), deadline, false, std::move(done)});
	this->open++;
	this->Try(it);
}

void JobDesk::Cancel(const JobId &id, const ServiceName &service, Millis deadline, Done done)
{
	auto it = std::make_shared<Pending>(Pending{PartitionId{TopicOf(service), INBOX_PART},
												KeyedRecord{CANCEL_MARK + id.Value(), std::string("1")},
												this->scheduler.Now(), deadline, false, std::move(done)});
	this->open++;
	this->Try(it);
}

void JobDesk::Try(const std::shared_ptr<Pending> &it)
{
	/* A repeated record changes nothing: the first one of a key counts. So no sequence numbers are needed. */
	const Millis left = it->deadline - ANSWER_MARGIN - this->scheduler.Now();
	this->log.Append(it->partition, {it->record}, AppendCondition{}, std::clamp(left, Millis(1), APPEND_PATIENCE),
					 [this, it, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
						 if (!still.expired()) {
							 this->OnAppended(it, answer.code);
						 }
					 });
}

void JobDesk::OnAppended(const std::shared_ptr<Pending> &it, ResultCode code)
{
	if (code == ResultCode::RC_OK) {
		this->Finish(it, code);
		return;
	}
	const Millis now = this->scheduler.Now();
	it->uncertain = it->uncertain || code == ResultCode::RC_LOG_ANSWER_LOST;
	const bool late = now + ANSWER_MARGIN >= it->deadline;
	if (it->uncertain && late) {
		this->Finish(it, ResultCode::RC_OUTCOME_UNKNOWN);
	} else if (!it->uncertain && (late || now - it->begun >= REFUSE_WITHIN)) {
		this->Finish(it, code);
	} else {
		this->scheduler.After(REFUSED_AGAIN, [this, it, still = std::weak_ptr<bool>(this->alive)] {
			if (!still.expired()) {
				this->Try(it);
			}
		});
	}
}

void JobDesk::Finish(const std::shared_ptr<Pending> &it, ResultCode code)
{
	this->open--;
	this->events.Write("recorded", {{"key", it->record.key},
									{"topic", it->partition.topic},
									{"config", std::to_string(this->config.version)},
									{"code", SymbolOf(code)},
									{"took_ms", std::to_string((this->scheduler.Now() - it->begun).Value())}});
	it->done(code);
}

JobAnswer JobDesk::AnswerHere(const JobQuestion &question) const
{
	const ShardOwner *owner = this->host.Find(question.service);
	const Shard *shard = owner == nullptr ? nullptr : owner->Running();
	if (shard == nullptr) {
		return JobAnswer{};
	}
	if (question.job.Value().empty()) {
		if (!owner->Fresh()) {
			/* Jobs that other nodes have accepted meanwhile would be missing. */
			return JobAnswer{};
		}
		return JobAnswer{ResultCode::RC_OK, JobPhase::JP_QUEUED, shard->Waiting(question.route)};
	}
	const JobView view = shard->View(question.job);
	if (view.known) {
		return JobAnswer{ResultCode::RC_OK, view.phase, 0};
	}
	return JobAnswer{owner->Fresh() ? ResultCode::RC_UNKNOWN_JOB : ResultCode::RC_PEER_UNAVAILABLE, JobPhase::JP_QUEUED,
					 0};
}

void JobDesk::Ask(const JobQuestion &question, Millis deadline, std::function<void(const JobAnswer &)> done)
{
	const JobAnswer here = this->AnswerHere(question);
	if (here.code != ResultCode::RC_PEER_UNAVAILABLE) {
		done(here);
		return;
	}
	const auto make = [question](uint64_t number) {
		glade::wire::JobQuestionT out;
		out.number = number;
		out.service = question.service.Value();
		out.route = question.route.Value();
		out.job = question.job.Value();
		return MakeMessage(std::move(out));
	};
	const std::string what = question.job.Value().empty() ? question.route.Value() : question.job.Value();
	this->lookup.Ask(
			PartitionId{TopicOf(question.service), PROGRESS_PART}, what, deadline - ANSWER_MARGIN, make,
			[done = std::move(done)](ResultCode code, const MessageUnion *message) {
				const auto *in = message == nullptr ? nullptr : message->AsJobAnswer();
				done(in == nullptr ? JobAnswer{} : JobAnswer{code, static_cast<JobPhase>(in->phase), in->waiting});
			});
}
