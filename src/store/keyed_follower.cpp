/** @file keyed_follower.cpp Follows a partition of the keyed log. */
#include "keyed_follower.h"

#include <algorithm>
#include <iterator>

KeyedFollower::KeyedFollower(Scheduler &scheduler, KeyedLog &log, PartitionId partition, PollTiming pace)
		: scheduler(scheduler), log(log), partition(std::move(partition)), pace(pace)
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

void KeyedFollower::Later(Millis delay, void (KeyedFollower::*step)())
{
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(delay, [this, step] { (this->*step)(); });
}

void KeyedFollower::LoadFirst()
{
	this->first_end.reset();
	this->loading.clear();
	this->LoadPage({});
}

void KeyedFollower::LoadPage(const std::string &after)
{
	const Millis asked = this->scheduler.Now();
	this->log.Newest(this->partition, after,
					 [this, asked, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (!still.expired()) {
							 this->OnPage(page, asked);
						 }
					 });
}

void KeyedFollower::OnPage(const NewestPage &page, Millis asked)
{
	if (page.code != ResultCode::RC_OK) {
		this->Later(this->pace.retry_after, &KeyedFollower::LoadFirst);
		return;
	}
	if (!this->first_end) {
		/* Pages are no snapshot: whatever was appended since the first one is read again behind it. */
		this->first_end = page.end;
		this->fresh_at = asked;
	}
	for (const KeyedRecord &record : page.records) {
		this->loading.insert(record.key);
		this->Tell(record);
	}
	if (page.more && !page.records.empty()) {
		this->LoadPage(page.records.back().key);
		return;
	}
	this->DropMissing();
	this->next = *this->first_end;
	const bool first = !std::exchange(this->loaded, true);
	if (first && this->on_loaded) {
		this->on_loaded();
	}
	if (this->on_batch) {
		this->on_batch();
	}
	this->ReadOn();
}

void KeyedFollower::DropMissing()
{
	std::vector<std::string> missing;
	std::ranges::set_difference(this->keys, this->loading, std::back_inserter(missing));
	for (const std::string &key : missing) {
		this->Tell(KeyedRecord{key, std::nullopt});
	}
}

void KeyedFollower::ReadOn()
{
	const Millis asked = this->scheduler.Now();
	this->log.Read(this->partition, this->next, this->pace.wait,
				   [this, asked, still = std::weak_ptr<bool>(this->alive)](const KeyedReadAnswer &answer) {
					   if (!still.expired()) {
						   this->OnRead(answer, asked);
					   }
				   });
}

void KeyedFollower::OnRead(const KeyedReadAnswer &answer, Millis asked)
{
	if (answer.code == ResultCode::RC_LOG_FORGOTTEN) {
		this->LoadFirst();
		return;
	}
	if (answer.code != ResultCode::RC_OK) {
		this->Later(this->pace.retry_after, &KeyedFollower::ReadOn);
		return;
	}
	this->fresh_at = asked;
	this->heard_at = this->scheduler.Now();
	this->next = answer.next;
	std::ranges::for_each(answer.records, [this](const KeyedRecord &it) { this->Tell(it); });
	if (!answer.records.empty() && this->on_batch) {
		this->on_batch();
	}
	this->Later(this->pace.pause, &KeyedFollower::ReadOn);
}

void KeyedFollower::ReadNow(std::function<void()> done)
{
	this->log.Read(
			this->partition, this->next, Millis(0),
			[this, done = std::move(done), still = std::weak_ptr<bool>(this->alive)](const KeyedReadAnswer &answer) {
				if (still.expired() || answer.code != ResultCode::RC_OK) {
					return;
				}
				std::ranges::for_each(answer.records, [this](const KeyedRecord &it) { this->Tell(it); });
				done();
			});
}

void KeyedFollower::Tell(const KeyedRecord &record)
{
	if (record.value) {
		this->keys.insert(record.key);
	} else {
		this->keys.erase(record.key);
	}
	this->on_record(record);
}
