/** @file job_api.cpp Operations on jobs for callers, available on any node. */
#include "job_api.h"

#include <algorithm>

namespace {

/** Time for an owner to report that it is recording; after that, the record goes to the inbox. This is three times what
 * a node takes that runs five times slower than usual. */
constexpr Millis OWNER_WAIT(300);
/** Time before the caller's deadline at which a recording owner is given up and the inbox is used instead. */
constexpr Millis INBOX_RESERVE(900);
constexpr Millis REFUSED_AGAIN(40);  ///< Delay before the retry of an append that the log refused.
constexpr Millis REFUSE_WITHIN(120); ///< Time of refusals by the log after which the caller is refused: another node or
									 ///< a later retry serves it sooner. A quarter of the shortest objective is 150 ms.
constexpr Millis ANSWER_MARGIN(60);  ///< Time that an answer takes to reach the caller.

} // namespace

JobApi::JobApi(Scheduler &scheduler, KeyedLog &log, ShardHost &host, OwnerLookup &lookup, EventLog &events)
		: scheduler(scheduler), log(log), host(host), lookup(lookup), events(events)
{
}

void JobApi::Configure(const JobConfig &config)
{
	if (config.version > this->config.version) {
		this->config = config;
		this->host.Configure(config);
	}
}

void JobApi::Submit(const JobSpec &spec, const ServiceName &service, Millis deadline, Done done)
{
	this->Record(std::make_shared<Pending>(
			Pending{service, KeyedRecord{KeyOf(InboxKey{spec.id, spec.account}), EncodeSubmission(spec)},
					this->scheduler.Now(), deadline, false, std::move(done)}));
}

void JobApi::Cancel(const JobId &id, const AccountName &account, const ServiceName &service, Millis deadline, Done done)
{
	this->Record(std::make_shared<Pending>(Pending{service,
												   KeyedRecord{KeyOf(InboxKey{id, account, true}), std::string("1")},
												   this->scheduler.Now(), deadline, false, std::move(done)}));
}

void JobApi::Record(const std::shared_ptr<Pending> &it)
{
	this->open++;
	this->scheduler.After(std::max(it->deadline - ANSWER_MARGIN - this->scheduler.Now(), Millis(1)),
						  [this, it, still = std::weak_ptr<bool>(this->alive)] {
							  if (!still.expired()) {
								  this->Finish(it, it->uncertain ? ResultCode::RC_OUTCOME_UNKNOWN
																 : ResultCode::RC_LOG_UNAVAILABLE);
							  }
						  });
	ShardOwner *owner = this->host.Find(it->service);
	if (owner != nullptr && owner->Running() != nullptr) {
		it->uncertain = true;
		owner->Accept(it->record, [this, it, still = std::weak_ptr<bool>(this->alive)](ResultCode code) {
			if (!still.expired()) {
				this->OnOwner(it, code);
			}
		});
	} else if (this->lookup.Ready(PartitionId{TopicOf(it->service), PROGRESS_PARTITION})) {
		this->AskOwner(it);
	} else {
		this->TryInbox(it);
	}
}

void JobApi::AskOwner(const std::shared_ptr<Pending> &it)
{
	const auto make = [it](uint64_t number) {
		glade::wire::RecordQuestionT out;
		out.number = number;
		out.service = it->service.Value();
		out.key = it->record.key;
		out.value.assign(it->record.value->begin(), it->record.value->end());
		return MakeMessage(std::move(out));
	};
	it->uncertain = true;
	this->lookup.Ask(
			PartitionId{TopicOf(it->service), PROGRESS_PARTITION}, it->record.key, this->scheduler.Now() + OWNER_WAIT,
			make,
			[this, it, still = std::weak_ptr<bool>(this->alive)](ResultCode code, const MessageUnion *) {
				if (!still.expired()) {
					this->OnOwner(it, code);
				}
			},
			it->deadline - INBOX_RESERVE);
}

void JobApi::OnOwner(const std::shared_ptr<Pending> &it, ResultCode code)
{
	if (code == ResultCode::RC_OK || code == ResultCode::RC_OTHER_ACCOUNT || code == ResultCode::RC_ACCOUNT_BUSY) {
		this->Finish(it, code);
		return;
	}
	/* Any answer other than an unknown outcome means that the owner doesn't record it. */
	it->uncertain = code == ResultCode::RC_OUTCOME_UNKNOWN;
	this->TryInbox(it);
}

void JobApi::TryInbox(const std::shared_ptr<Pending> &it)
{
	if (!it->done) {
		return;
	}
	auto &inbox = this->inboxes[it->service];
	if (!inbox) {
		inbox = std::make_unique<InboxWriter>(this->scheduler, this->log,
											  PartitionId{TopicOf(it->service), INBOX_PARTITION});
	}
	/* Appends need no sequence numbers: only the first record of a key counts. */
	const bool before = std::exchange(it->uncertain, true); /* Holds while the append is in flight. */
	inbox->Append(it->record, it->deadline - ANSWER_MARGIN, before,
				  [this, it, before, still = std::weak_ptr<bool>(this->alive)](ResultCode code) {
					  if (!still.expired()) {
						  it->uncertain = before;
						  this->OnAppended(it, code);
					  }
				  });
}

void JobApi::OnAppended(const std::shared_ptr<Pending> &it, ResultCode code)
{
	if (code == ResultCode::RC_OK) {
		this->Finish(it, code);
		return;
	}
	it->uncertain = it->uncertain || code == ResultCode::RC_LOG_ANSWER_LOST;
	if (!it->uncertain && this->scheduler.Now() - it->begun >= REFUSE_WITHIN) {
		this->Finish(it, code);
		return;
	}
	this->scheduler.After(REFUSED_AGAIN, [this, it, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->TryInbox(it);
		}
	});
}

void JobApi::Finish(const std::shared_ptr<Pending> &it, ResultCode code)
{
	const Done done = std::exchange(it->done, nullptr);
	if (!done) {
		return; /* The result was reported already. */
	}
	this->open--;
	this->events.Write("recorded", {{"key", it->record.key},
									{"service", it->service.Value()},
									{"config", std::to_string(this->config.version)},
									{"code", SymbolOf(code)},
									{"took_ms", std::to_string((this->scheduler.Now() - it->begun).Value())}});
	done(code);
}

JobAnswer JobApi::AnswerLocally(const JobQuestion &question) const
{
	const ShardOwner *owner = this->host.Find(question.service);
	const Shard *shard = owner == nullptr ? nullptr : owner->Running();
	if (shard == nullptr) {
		return JobAnswer{};
	}
	if (question.job.Empty()) {
		if (!owner->Fresh()) {
			/* The count would lack jobs that other nodes have accepted meanwhile. */
			return JobAnswer{};
		}
		return JobAnswer{ResultCode::RC_OK, JobPhase::JP_QUEUED, shard->Waiting(question.route)};
	}
	const JobView view = shard->View(question.job);
	if (view.known && !MayAccess(view.account, question.account)) {
		return JobAnswer{ResultCode::RC_OTHER_ACCOUNT, JobPhase::JP_QUEUED, 0};
	}
	if (view.known) {
		return JobAnswer{ResultCode::RC_OK, view.phase, 0};
	}
	return JobAnswer{owner->Fresh() ? ResultCode::RC_UNKNOWN_JOB : ResultCode::RC_PEER_UNAVAILABLE, JobPhase::JP_QUEUED,
					 0};
}

void JobApi::Ask(const JobQuestion &question, Millis deadline, std::function<void(const JobAnswer &)> done)
{
	const JobAnswer here = this->AnswerLocally(question);
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
		out.account = question.account.Value();
		return MakeMessage(std::move(out));
	};
	const std::string what = question.job.Empty() ? question.route.Value() : question.job.Value();
	this->lookup.Ask(
			PartitionId{TopicOf(question.service), PROGRESS_PARTITION}, what, deadline - ANSWER_MARGIN, make,
			[done = std::move(done)](ResultCode code, const MessageUnion *message) {
				const auto *in = message == nullptr ? nullptr : message->AsJobAnswer();
				done(in == nullptr ? JobAnswer{} : JobAnswer{code, static_cast<JobPhase>(in->phase), in->waiting});
			});
}
