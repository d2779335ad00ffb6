/** @file job_api.cpp Operations on jobs for callers, available on any node. */
#include "job_api.h"

#include <algorithm>
#include <iterator>

namespace {

/** Time limit for an owner to report that it is recording a submission or cancellation in the log; after that, the
 * record goes to the inbox. A node that runs five times slower than usual takes a third of this. */
constexpr Millis OWNER_ACK_TIMEOUT(300);
/** Time before the caller's deadline at which the inbox is used instead of an owner that is still recording. */
constexpr Millis INBOX_TIME_RESERVE(900);
constexpr Millis INBOX_RETRY_DELAY(40); ///< Delay before the retry of an append that the log refused.
/** Time since the caller's request after which a further refusal by the log is passed on to the caller: another node or
 * a later retry serves it sooner. A quarter of the shortest objective of a job is 150 ms. */
constexpr Millis REFUSAL_TIMEOUT(120);
constexpr Millis ANSWER_MARGIN(60);          ///< Time that an answer takes to reach the caller.
constexpr size_t RECORD_BYTES_RESERVED = 16; ///< What prefixes may add to the key of a caller's record.
/** Jobs that need more memory are accepted by the owner only, which knows whether it has that. An owner has to take
 * whatever is in the inbox. */
constexpr uint64_t INBOX_JOB_BYTES = 1024 * 1024;

} // namespace

JobApi::JobApi(Scheduler &scheduler, KeyedLog &log, ShardHost &shards, OwnerLookup &lookup, EventLog &events)
		: scheduler(scheduler), log(log), shards(shards), lookup(lookup), events(events)
{
}

void JobApi::Configure(const JobConfig &config)
{
	if (config.version > this->config.version) {
		this->config = config;
		this->shards.Configure(config);
	}
}

void JobApi::Submit(const JobSpec &spec, const ServiceName &service, Millis deadline, Done done)
{
	JobSpec routed = spec;
	routed.config = this->config.version;
	if (const JobRoute *route = this->config.FindRoute(spec.route); route != nullptr) {
		routed.policy = route->policy;
	}
	const auto pending = std::make_shared<Pending>(
			Pending{service, KeyedRecord{KeyOf(InboxKey{spec.id, spec.account}), EncodeSubmission(routed)},
					this->scheduler.Now(), deadline, false, std::move(done)});
	pending->needs_owner = EstimateBytes(routed) > INBOX_JOB_BYTES;
	this->BeginRecording(pending);
}

void JobApi::Cancel(const JobQuestion &job, Millis deadline, Done done)
{
	const StoredCancellation cancellation{job.route, this->config.version, false};
	this->BeginRecording(std::make_shared<Pending>(Pending{
			job.service, KeyedRecord{KeyOf(InboxKey{job.job, job.account, true}), EncodeCancellation(cancellation)},
			this->scheduler.Now(), deadline, false, std::move(done)}));
}

void JobApi::Record(const ServiceName &service, const KeyedRecord &record, Millis deadline, Done done)
{
	this->BeginRecording(std::make_shared<Pending>(
			Pending{service, record, this->scheduler.Now(), deadline, false, std::move(done)}));
}

void JobApi::BeginRecording(const std::shared_ptr<Pending> &pending)
{
	this->in_progress++;
	if (EncodedSize(pending->record) + RECORD_BYTES_RESERVED > this->log.Limits().record_bytes) {
		this->Finish(pending, ResultCode::RC_BODY_TOO_LARGE);
		return;
	}
	pending->timer =
			this->scheduler.After(std::max(pending->deadline - ANSWER_MARGIN - this->scheduler.Now(), Millis(1)),
								  [this, pending, still = std::weak_ptr<bool>(this->alive)] {
									  if (!still.expired()) {
										  pending->timer = TimerId();
										  this->Finish(pending, pending->uncertain ? ResultCode::RC_OUTCOME_UNKNOWN
																				   : ResultCode::RC_LOG_UNAVAILABLE);
									  }
								  });
	ShardOwner *owner = this->shards.Find(pending->service);
	if (owner != nullptr && owner->Running() != nullptr) {
		pending->uncertain = true;
		owner->Accept(pending->record, [this, pending, still = std::weak_ptr<bool>(this->alive)](ResultCode code) {
			if (!still.expired()) {
				this->OnOwnerAnswer(pending, code);
			}
		});
	} else if (this->lookup.OwnerConnected(PartitionId{TopicOf(pending->service), PROGRESS_PARTITION})) {
		this->SendToOwner(pending);
	} else if (pending->needs_owner) {
		this->Finish(pending, ResultCode::RC_JOB_MEMORY_FULL);
	} else {
		this->AppendToInbox(pending);
	}
}

void JobApi::SendToOwner(const std::shared_ptr<Pending> &pending)
{
	const auto make = [pending](uint64_t number) {
		glade::wire::RecordQuestionT out;
		out.number = number;
		out.service = pending->service.Value();
		out.key = pending->record.key;
		out.value.assign(pending->record.value->begin(), pending->record.value->end());
		return MakeMessage(std::move(out));
	};
	pending->uncertain = true;
	this->lookup.Ask(
			PartitionId{TopicOf(pending->service), PROGRESS_PARTITION}, pending->record.key,
			this->scheduler.Now() + OWNER_ACK_TIMEOUT, make,
			[this, pending, still = std::weak_ptr<bool>(this->alive)](ResultCode code, const MessageUnion *) {
				if (!still.expired()) {
					this->OnOwnerAnswer(pending, code);
				}
			},
			pending->deadline - INBOX_TIME_RESERVE);
}

void JobApi::OnOwnerAnswer(const std::shared_ptr<Pending> &pending, ResultCode code)
{
	const bool is_final = code == ResultCode::RC_OK || code == ResultCode::RC_OTHER_ACCOUNT ||
						  code == ResultCode::RC_ACCOUNT_BUSY || code == ResultCode::RC_JOB_MEMORY_FULL;
	if (is_final) {
		this->Finish(pending, code);
		return;
	}
	/* Any other answer but an unknown outcome means that the owner has not recorded it and will not. */
	pending->uncertain = code == ResultCode::RC_OUTCOME_UNKNOWN;
	if (pending->needs_owner) {
		this->Finish(pending, pending->uncertain ? code : ResultCode::RC_JOB_MEMORY_FULL);
	} else {
		this->AppendToInbox(pending);
	}
}

void JobApi::AppendToInbox(const std::shared_ptr<Pending> &pending)
{
	if (!pending->done) {
		return;
	}
	auto &inbox = this->inboxes[pending->service];
	if (!inbox) {
		inbox = std::make_unique<InboxWriter>(this->scheduler, this->log,
											  PartitionId{TopicOf(pending->service), INBOX_PARTITION});
	}
	/* Appends need no sequence numbers: only the first record of a key counts. */
	const bool was_uncertain = std::exchange(pending->uncertain, true); /* True while the append is in flight. */
	inbox->Append(pending->record, pending->deadline - ANSWER_MARGIN, was_uncertain,
				  [this, pending, was_uncertain, still = std::weak_ptr<bool>(this->alive)](ResultCode code) {
					  if (!still.expired()) {
						  pending->uncertain = was_uncertain;
						  this->OnInboxAnswer(pending, code);
					  }
				  });
}

void JobApi::OnInboxAnswer(const std::shared_ptr<Pending> &pending, ResultCode code)
{
	if (code == ResultCode::RC_OK) {
		this->Finish(pending, code);
		return;
	}
	pending->uncertain = pending->uncertain || code == ResultCode::RC_LOG_ANSWER_LOST;
	if (!pending->uncertain && this->scheduler.Now() - pending->started_at >= REFUSAL_TIMEOUT) {
		this->Finish(pending, code);
		return;
	}
	this->scheduler.After(INBOX_RETRY_DELAY, [this, pending, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->AppendToInbox(pending);
		}
	});
}

void JobApi::Finish(const std::shared_ptr<Pending> &pending, ResultCode code)
{
	const Done done = std::exchange(pending->done, nullptr);
	if (!done) {
		return; /* The result was reported already. */
	}
	this->in_progress--;
	this->scheduler.Cancel(std::exchange(pending->timer, TimerId())); /* It keeps the record in memory. */
	this->events.Write("recorded",
					   {{"key", pending->record.key},
						{"service", pending->service.Value()},
						{"config", std::to_string(this->config.version)},
						{"code", SymbolOf(code)},
						{"took_ms", std::to_string((this->scheduler.Now() - pending->started_at).Value())}});
	done(code);
}

JobAnswer JobApi::AnswerLocally(const JobQuestion &question) const
{
	const ShardOwner *owner = this->shards.Find(question.service);
	const Shard *shard = owner == nullptr ? nullptr : owner->Running();
	if (shard == nullptr) {
		return JobAnswer{};
	}
	const RouteShards &routes = *owner->Routes();
	/* Otherwise a count would lack jobs that other nodes have accepted meanwhile, and an unknown job may exist. */
	const bool complete = owner->Fresh() && routes.Knows(question.route);
	if (question.job.Empty()) {
		if (!complete) {
			return JobAnswer{};
		}
		return JobAnswer{ResultCode::RC_OK, JobPhase::JP_QUEUED,
						 shard->Waiting(question.route) + routes.HeldOf(question.route),
						 routes.OthersWithJobs(question.route)};
	}
	JobView view = shard->View(question.job);
	if (const JobSpec *held = routes.FindHeld(question.job); held != nullptr && !view.known) {
		view = JobView{true, JobPhase::JP_QUEUED, held->account};
	}
	if (view.known && !MayAccess(view.account, question.account)) {
		return JobAnswer{ResultCode::RC_OTHER_ACCOUNT, JobPhase::JP_QUEUED, 0};
	}
	if (view.known) {
		return JobAnswer{ResultCode::RC_OK, view.phase, 0};
	}
	if (!complete || routes.FindUntaken(question.job) != UntakenJob::UJ_UNKNOWN) {
		return JobAnswer{};
	}
	return JobAnswer{ResultCode::RC_UNKNOWN_JOB, JobPhase::JP_QUEUED, 0, routes.OthersWithJobs(question.route)};
}

void JobApi::Ask(const JobQuestion &question, Millis deadline, std::function<void(const JobAnswer &)> done)
{
	const auto search = std::make_shared<ShardSearch>();
	search->question = question;
	search->deadline = deadline;
	search->seen = {question.service};
	search->done = std::move(done);
	this->AskShard(question, deadline,
				   [this, search, still = std::weak_ptr<bool>(this->alive)](const JobAnswer &answer) {
					   if (!still.expired()) {
						   this->OnShardAnswer(search, answer);
					   }
				   });
}

void JobApi::OnShardAnswer(const std::shared_ptr<ShardSearch> &search, const JobAnswer &answer)
{
	const bool is_count = search->question.job.Empty();
	const ResultCode goes_on = is_count ? ResultCode::RC_OK : ResultCode::RC_UNKNOWN_JOB;
	search->result.code = answer.code;
	search->result.phase = answer.phase;
	search->result.waiting += answer.waiting;
	if (answer.code != goes_on) {
		search->done(search->result);
		return;
	}
	const ServiceName first = search->seen.size() == 1 ? search->question.service : ServiceName();
	for (const ServiceName &it : answer.other_services) {
		if (search->seen.insert(it).second) {
			search->to_ask.push_back(it);
		}
	}
	if (!is_count && !first.Value().empty() && !search->to_ask.empty()) {
		/* A job may be on its way there from the shards that are asked before. */
		search->to_ask.push_back(first);
	}
	this->AskNext(search);
}

void JobApi::AskNext(const std::shared_ptr<ShardSearch> &search)
{
	if (search->to_ask.empty()) {
		search->done(search->result);
		return;
	}
	search->question.service = search->to_ask.front();
	search->to_ask.pop_front();
	this->AskShard(search->question, search->deadline,
				   [this, search, still = std::weak_ptr<bool>(this->alive)](const JobAnswer &answer) {
					   if (!still.expired()) {
						   this->OnShardAnswer(search, answer);
					   }
				   });
}

void JobApi::AskShard(const JobQuestion &question, Millis deadline, std::function<void(const JobAnswer &)> done)
{
	const JobAnswer local_answer = this->AnswerLocally(question);
	if (local_answer.code != ResultCode::RC_PEER_UNAVAILABLE) {
		done(local_answer);
		return;
	}
	const auto make = [question](uint64_t number) {
		glade::wire::JobQuestionT out;
		out.number = number;
		out.service = question.service.Value();
		out.route = question.route.Value();
		out.job = question.job.Value();
		out.account = question.account.Value();
		return MakeMessage(std::move(out));
	};
	const std::string subject = question.job.Empty() ? question.route.Value() : question.job.Value();
	this->lookup.Ask(PartitionId{TopicOf(question.service), PROGRESS_PARTITION}, subject, deadline - ANSWER_MARGIN,
					 make, [done = std::move(done)](ResultCode code, const MessageUnion *message) {
						 const auto *in = message == nullptr ? nullptr : message->AsJobAnswer();
						 if (in == nullptr || in->phase > static_cast<uint8_t>(JobPhase::JP_CANCELLED)) {
							 done(JobAnswer{});
							 return;
						 }
						 JobAnswer answer{code, static_cast<JobPhase>(in->phase), in->waiting};
						 std::ranges::transform(in->other_services, std::back_inserter(answer.other_services),
												[](const std::string &it) { return ServiceName(it); });
						 done(answer);
					 });
}
