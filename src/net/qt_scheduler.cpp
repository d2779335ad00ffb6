/** @file qt_scheduler.cpp Clock and timers on Qt's event loop of one thread. */
#include "qt_scheduler.h"

#include <QDateTime>
#include <QMetaObject>

#include <algorithm>

namespace {

constexpr Millis PAUSE(200); ///< A timer that is so late tells of a pause; on a slow machine they are some 10 ms late.

} // namespace

QtScheduler::QtScheduler(const MonotonicClock &clock) : clock(clock)
{
	this->timer.setSingleShot(true);
	this->timer.setTimerType(Qt::PreciseTimer);
	QObject::connect(&this->timer, &QTimer::timeout, &this->context, [this] { this->RunDue(); });
}

Millis QtScheduler::Now() const
{
	return this->clock.Now();
}

Millis QtScheduler::WallNow() const
{
	return Millis(QDateTime::currentMSecsSinceEpoch());
}

TimerId QtScheduler::After(Millis delay, std::function<void()> run)
{
	const TimerId id(++this->last_id);
	const Millis at = this->Now() + std::max(delay, Millis(0));
	this->timers.emplace(Due{at, id}, std::move(run));
	this->due.emplace(id, at);
	this->Arm();
	return id;
}

void QtScheduler::Cancel(TimerId id)
{
	const auto it = this->due.find(id);
	if (it == this->due.end()) {
		return;
	}
	this->timers.erase(Due{it->second, id});
	this->due.erase(it);
}

void QtScheduler::Post(std::function<void()> run)
{
	QMetaObject::invokeMethod(&this->context, std::move(run), Qt::QueuedConnection);
}

void QtScheduler::Arm()
{
	if (this->timers.empty()) {
		return;
	}
	const Millis first = this->timers.begin()->first.at;
	if (this->timer.isActive() && this->armed <= first) {
		return;
	}
	this->armed = first;
	this->timer.start(static_cast<int>(std::max<int64_t>((first - this->Now()).Value(), 0)));
}

void QtScheduler::NotePause()
{
	const Millis now = this->Now();
	if (!this->timers.empty() && now - this->timers.begin()->first.at > PAUSE) {
		this->paused_at = now;
	}
}

Millis QtScheduler::ResumedAt()
{
	/* A socket may be served before the timers that are overdue. */
	this->NotePause();
	return this->paused_at;
}

void QtScheduler::RunDue()
{
	this->NotePause();
	while (!this->timers.empty() && this->timers.begin()->first.at <= this->Now()) {
		auto node = this->timers.extract(this->timers.begin());
		this->due.erase(node.key().id);
		node.mapped()();
	}
	this->Arm();
}
