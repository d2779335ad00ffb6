/** @file log_tail.cpp Reads the platform's log from its start or a snapshot and applies it, with retries. */
#include "log_tail.h"

#include <algorithm>
#include <utility>

LogTail::LogTail(Scheduler &scheduler, LogService &log, OnRecord on_record, TailTimings timings)
		: scheduler(scheduler), log(log), on_record(std::move(on_record)), timings(timings),
		  alive(std::make_shared<bool>(true))
{
}

LogTail::~LogTail()
{
	*this->alive = false;
	this->scheduler.Cancel(this->timer);
}

void LogTail::Start()
{
	this->ReadNext();
}

bool LogTail::Adopt(FleetState state)
{
	if (state.offset <= this->fleet.offset || !SupportsRules(state)) {
		return false;
	}
	this->fleet = std::move(state);
	this->next = LogOffset(this->fleet.offset.Value() + 1);
	this->phase = TailPhase::TP_FOLLOWING;
	this->on_record({});
	this->ScheduleRead(Millis(0));
	return true;
}

void LogTail::ScheduleRead(Millis delay)
{
	this->read_id++;
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(delay, [this] { this->ReadNext(); });
}

void LogTail::ReadNext()
{
	this->read_id++;
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(this->timings.timeout, [this] { this->ReadNext(); });
	this->log.Read(this->next, [this, alive_flag = this->alive, answered_id = this->read_id](const ReadAnswer &answer) {
		if (*alive_flag) {
			this->OnAnswer(answered_id, answer);
		}
	});
}

void LogTail::OnAnswer(uint64_t answered_id, const ReadAnswer &answer)
{
	if (answered_id != this->read_id || this->phase == TailPhase::TP_HALTED) {
		return;
	}
	if (answer.code == ResultCode::RC_LOG_UNAVAILABLE) {
		this->ScheduleRead(this->timings.retry);
		return;
	}
	this->last_answer = this->scheduler.Now();
	this->oldest = answer.oldest;
	if (answer.code == ResultCode::RC_LOG_FORGOTTEN) {
		this->BeginJoin(answer);
		return;
	}
	for (const LogRecord &record : answer.records) {
		this->HandleRecord(record);
	}
	if (!SupportsRules(this->fleet)) {
		this->phase = TailPhase::TP_HALTED;
		return;
	}
	const bool at_end = this->next > answer.newest;
	if (at_end && this->phase == TailPhase::TP_JOINING) {
		this->FinishJoin();
		return;
	}
	this->caught_up = at_end;
	this->ScheduleRead(answer.records.empty() ? this->timings.poll : Millis(0));
}

void LogTail::BeginJoin(const ReadAnswer &answer)
{
	this->phase = TailPhase::TP_JOINING;
	this->caught_up = false;
	this->next = answer.oldest;
	this->ScheduleRead(Millis(0));
}

void LogTail::HandleRecord(const LogRecord &record)
{
	if (record.offset < this->next) {
		return;
	}
	this->next = LogOffset(record.offset.Value() + 1);
	this->collector.Add(record);
	if (this->phase == TailPhase::TP_FOLLOWING) {
		const std::vector<Decision> decisions = ApplyRecord(this->fleet, record);
		this->on_record(decisions);
	}
}

void LogTail::FinishJoin()
{
	const bool usable = this->collector.Newest() && this->collector.Base() > this->fleet.offset &&
						this->collector.Base().Value() + 1 >= this->oldest.Value();
	if (!usable) {
		/* The log has no complete snapshot followed by all later records: wait for one, or for the state of a peer. */
		this->ScheduleRead(this->timings.retry);
		return;
	}
	this->Adopt(*this->collector.Newest());
}
