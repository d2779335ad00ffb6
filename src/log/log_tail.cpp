/** @file log_tail.cpp Follows the platform's log: joins by snapshot or from the start, folds, survives outages. */
#include "log_tail.h"

#include <algorithm>
#include <utility>

LogTail::LogTail(Scheduler &scheduler, LogService &log, OnRecord on_record, TailPace pace)
		: scheduler(scheduler), log(log), on_record(std::move(on_record)), pace(pace),
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
	this->ReadOn();
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
	this->ReadAfter(Millis(0));
	return true;
}

void LogTail::ReadAfter(Millis delay)
{
	this->round++;
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(delay, [this] { this->ReadOn(); });
}

void LogTail::ReadOn()
{
	this->round++;
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(this->pace.timeout, [this] { this->ReadOn(); });
	this->log.Read(this->next, [this, still = this->alive, of_round = this->round](const ReadAnswer &answer) {
		if (*still) {
			this->OnAnswer(of_round, answer);
		}
	});
}

void LogTail::OnAnswer(uint64_t of_round, const ReadAnswer &answer)
{
	if (of_round != this->round || this->phase == TailPhase::TP_HALTED) {
		return;
	}
	if (answer.code == ResultCode::RC_LOG_UNAVAILABLE) {
		this->ReadAfter(this->pace.retry);
		return;
	}
	this->last_answer = this->scheduler.Now();
	this->oldest = answer.oldest;
	if (answer.code == ResultCode::RC_LOG_FORGOTTEN) {
		this->BeginJoin(answer);
		return;
	}
	for (const LogRecord &record : answer.records) {
		this->Take(record);
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
	this->ReadAfter(answer.records.empty() ? this->pace.poll : Millis(0));
}

void LogTail::BeginJoin(const ReadAnswer &answer)
{
	this->phase = TailPhase::TP_JOINING;
	this->caught_up = false;
	this->next = answer.oldest;
	this->ReadAfter(Millis(0));
}

void LogTail::Take(const LogRecord &record)
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
	const bool useful = this->collector.Newest() && this->collector.Base() > this->fleet.offset &&
						this->collector.Base().Value() + 1 >= this->oldest.Value();
	if (!useful) {
		/* Nobody has written a snapshot that the log still continues: wait for one, or for a peer's state. */
		this->ReadAfter(this->pace.retry);
		return;
	}
	this->Adopt(*this->collector.Newest());
}
