/** @file qt_scheduler.cpp Clock and timers on the Qt event loop of a thread. */
#include "qt_scheduler.h"

#include <QDateTime>
#include <QMetaObject>

#include <algorithm>

namespace {

constexpr Millis PAUSE_THRESHOLD(
		200); ///< Lateness of a timer that indicates a pause; on a slow machine timers are about 10 ms late.

} // namespace

QtScheduler::QtScheduler(const MonotonicClock &clock) : clock(clock)
{
	this->qt_timer.setSingleShot(true);
	this->qt_timer.setTimerType(Qt::PreciseTimer);
	QObject::connect(&this->qt_timer, &QTimer::timeout, &this->context, [this] { this->RunDue(); });
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
	this->timers.emplace(TimerKey{at, id}, std::move(run));
	this->expiry_times.emplace(id, at);
	this->Arm();
	return id;
}

void QtScheduler::Cancel(TimerId id)
{
	const auto it = this->expiry_times.find(id);
	if (it == this->expiry_times.end()) {
		return;
	}
	this->timers.erase(TimerKey{it->second, id});
	this->expiry_times.erase(it);
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
	if (this->qt_timer.isActive() && this->armed_for <= first) {
		return;
	}
	this->armed_for = first;
	this->qt_timer.start(static_cast<int>(std::max<int64_t>((first - this->Now()).Value(), 0)));
}

void QtScheduler::DetectPause()
{
	const Millis now = this->Now();
	if (!this->timers.empty() && now - this->timers.begin()->first.at > PAUSE_THRESHOLD) {
		this->resumed_at = now;
	}
}

Millis QtScheduler::ResumedAt()
{
	/* Socket events may be handled before overdue timers run. */
	this->DetectPause();
	return this->resumed_at;
}

void QtScheduler::RunDue()
{
	this->DetectPause();
	while (!this->timers.empty() && this->timers.begin()->first.at <= this->Now()) {
		auto node = this->timers.extract(this->timers.begin());
		this->expiry_times.erase(node.key().id);
		node.mapped()();
	}
	this->Arm();
}
