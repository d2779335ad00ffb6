/** @file keyed_follower.cpp Follows a partition of the keyed log. */
#include "keyed_follower.h"

#include <algorithm>
#include <iterator>
#include <ranges>

KeyedFollower::KeyedFollower(Scheduler &scheduler, KeyedLog &log, PartitionId partition, PollTiming timing)
		: scheduler(scheduler), log(log), partition(std::move(partition)), timing(timing)
{
}

KeyedFollower::~KeyedFollower()
{
	this->scheduler.Cancel(this->timer);
}

void KeyedFollower::Start()
{
	this->LoadFirst();
}

void KeyedFollower::Schedule(Millis delay, void (KeyedFollower::*step)())
{
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(delay, [this, step] { (this->*step)(); });
}

void KeyedFollower::LoadFirst()
{
	this->load_end.reset();
	this->loaded_keys.clear();
	this->LoadPage({});
}

void KeyedFollower::LoadPage(const std::string &after)
{
	const Millis sent_at = this->scheduler.Now();
	this->log.Newest(this->partition, after,
					 [this, sent_at, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (!still.expired()) {
							 this->OnPage(page, sent_at);
						 }
					 });
}

void KeyedFollower::OnPage(const NewestPage &page, Millis sent_at)
{
	if (page.code != ResultCode::RC_OK) {
		this->Schedule(this->timing.retry_after, &KeyedFollower::LoadFirst);
		return;
	}
	if (!this->load_end) {
		/* Pages are no snapshot: what is appended during the load is read from the end that the first page gave. */
		this->load_end = page.end;
		this->load_sent_at = sent_at;
	}
	for (const KeyedRecord &record : page.records) {
		this->loaded_keys.insert(record.key);
		this->Report(record);
	}
	if (page.more && !page.records.empty()) {
		this->LoadPage(page.records.back().key);
		return;
	}
	this->DropMissing();
	this->next = *this->load_end;
	this->current_as_of = this->load_sent_at;
	this->confirmed_as_of = std::max(this->confirmed_as_of, this->current_as_of);
	const bool first = !std::exchange(this->loaded, true);
	if (first && this->on_loaded) {
		this->on_loaded();
	}
	if (this->on_batch) {
		this->on_batch();
	}
	this->ReadNext();
}

void KeyedFollower::DropMissing()
{
	std::vector<std::string> missing;
	std::ranges::set_difference(this->live_keys, this->loaded_keys, std::back_inserter(missing));
	for (const std::string &key : missing) {
		this->Report(KeyedRecord{key, std::nullopt});
	}
}

void KeyedFollower::ReadNext()
{
	const Millis sent_at = this->scheduler.Now();
	this->log.Read(this->partition, this->next, this->timing.wait,
				   [this, sent_at, still = std::weak_ptr<bool>(this->alive)](const KeyedReadAnswer &answer) {
					   if (!still.expired()) {
						   this->OnRead(answer, sent_at);
					   }
				   });
}

void KeyedFollower::OnRead(const KeyedReadAnswer &answer, Millis sent_at)
{
	if (answer.code == ResultCode::RC_LOG_FORGOTTEN) {
		this->LoadFirst();
		return;
	}
	if (answer.code != ResultCode::RC_OK) {
		this->Schedule(this->timing.retry_after, &KeyedFollower::ReadNext);
		return;
	}
	if (answer.next >= answer.end) {
		this->current_as_of = sent_at; /* Otherwise records follow that the answer had no room for. */
	}
	this->last_answer_at = this->scheduler.Now();
	this->ReportNew(answer);
	this->NoteConfirmed(answer, sent_at, this->timing.wait);
	this->Schedule(this->timing.pause, &KeyedFollower::ReadNext);
}

void KeyedFollower::ReadNow(std::function<void()> done)
{
	const Millis sent_at = this->scheduler.Now();
	this->log.Read(this->partition, this->next, Millis(0),
				   [this, sent_at, done = std::move(done),
					still = std::weak_ptr<bool>(this->alive)](const KeyedReadAnswer &answer) {
					   if (still.expired() || answer.code != ResultCode::RC_OK) {
						   return;
					   }
					   this->ReportNew(answer);
					   this->NoteConfirmed(answer, sent_at, Millis(0));
					   if (answer.next < answer.end && !answer.records.empty()) {
						   this->ReadNow(done); /* An answer has a maximum size. */
					   } else {
						   done();
					   }
				   });
}

void KeyedFollower::NoteConfirmed(const KeyedReadAnswer &answer, Millis sent_at, Millis wait)
{
	if (answer.next < answer.end) {
		return; /* An answer has a maximum size. */
	}
	/* Without a record, the log has waited for one before it answered. */
	const bool waited = answer.records.empty() && this->scheduler.Now() - sent_at >= wait;
	this->confirmed_as_of = std::max(this->confirmed_as_of, waited ? sent_at + wait : sent_at);
}

void KeyedFollower::ReportNew(const KeyedReadAnswer &answer)
{
	if (answer.next <= this->next) {
		return;
	}
	/* Reads overlap: an older answer must not report an older record of a key after a newer one. */
	const auto count = std::min<uint64_t>(answer.next - this->next, answer.records.size());
	this->next = answer.next;
	for (const KeyedRecord &it : answer.records | std::views::drop(answer.records.size() - count)) {
		this->Report(it);
	}
	if (this->on_batch) {
		this->on_batch();
	}
}

void KeyedFollower::Report(const KeyedRecord &record)
{
	if (record.value) {
		this->live_keys.insert(record.key);
	} else {
		this->live_keys.erase(record.key);
	}
	this->on_record(record);
}
