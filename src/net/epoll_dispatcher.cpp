/** @file epoll_dispatcher.cpp Qt event dispatcher based on epoll. */
#include "epoll_dispatcher.h"

#include "monotonic_clock.h"

#include <QCoreApplication>
#include <QThread>
#include <QTimerEvent>

#include <algorithm>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <limits>
#include <sys/epoll.h>
#include <unistd.h>

namespace {

using Clock = std::chrono::steady_clock;

constexpr int MAX_EVENTS_PER_WAIT = 64; ///< Descriptors returned by one epoll_wait(); the next call returns the rest.
constexpr int NO_TIMEOUT = -1;          ///< epoll_wait() timeout without limit.

qint64 NowMs()
{
	return SystemClock().Now().Value();
}

} // namespace

uint32_t EpollDispatcher::Watch::WantedEvents() const
{
	return (this->read != nullptr ? uint32_t{EPOLLIN} : 0U) | (this->write != nullptr ? uint32_t{EPOLLOUT} : 0U) |
		   (this->urgent != nullptr ? uint32_t{EPOLLPRI} : 0U);
}

QSocketNotifier *&EpollDispatcher::Watch::NotifierFor(QSocketNotifier::Type type)
{
	if (type == QSocketNotifier::Read) {
		return this->read;
	}
	return type == QSocketNotifier::Write ? this->write : this->urgent;
}

EpollDispatcher::EpollDispatcher() : epoll(::epoll_create1(EPOLL_CLOEXEC))
{
	std::array<int, 2> pipe_ends{};
	if (this->epoll < 0 || ::pipe2(pipe_ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
		qFatal("can't create the epoll descriptor or the wake-up pipe of the event loop");
	}
	this->wake_pipe_read = pipe_ends[0];
	this->wake_pipe_write = pipe_ends[1];
	epoll_event event{};
	event.events = EPOLLIN;
	event.data.fd = this->wake_pipe_read;
	::epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->wake_pipe_read, &event);
}

EpollDispatcher::~EpollDispatcher()
{
	::close(this->wake_pipe_read);
	::close(this->wake_pipe_write);
	::close(this->epoll);
}

void EpollDispatcher::registerSocketNotifier(QSocketNotifier *notifier)
{
	const auto fd = static_cast<int>(notifier->socket());
	this->watches[fd].NotifierFor(notifier->type()) = notifier;
	/* Applied before the next wait: most changes are reverted before then. */
	this->changed.insert(fd);
}

void EpollDispatcher::unregisterSocketNotifier(QSocketNotifier *notifier)
{
	const auto fd = static_cast<int>(notifier->socket());
	const auto it = this->watches.find(fd);
	if (it == this->watches.end() || it->second.NotifierFor(notifier->type()) != notifier) {
		return;
	}
	it->second.NotifierFor(notifier->type()) = nullptr;
	if (it->second.WantedEvents() != 0) {
		this->changed.insert(fd);
		return;
	}
	/* Applied immediately: the descriptor may be closed next and its number reused by another socket. */
	this->UpdateEpoll(fd, it->second, 0);
	this->watches.erase(it);
	this->changed.erase(fd);
}

void EpollDispatcher::UpdateEpoll(int fd, Watch &watch, uint32_t wanted) const
{
	if (watch.registered == wanted) {
		return;
	}
	epoll_event event{};
	event.events = wanted;
	event.data.fd = fd;
	int operation = EPOLL_CTL_MOD;
	if (watch.registered == 0) {
		operation = EPOLL_CTL_ADD;
	} else if (wanted == 0) {
		operation = EPOLL_CTL_DEL;
	}
	if (::epoll_ctl(this->epoll, operation, fd, &event) != 0 && operation != EPOLL_CTL_DEL) {
		qWarning("epoll_ctl() failed for descriptor %d: errno %d", fd, errno);
	}
	watch.registered = wanted;
}

void EpollDispatcher::ApplyChanges()
{
	for (const int fd : this->changed) {
		if (const auto it = this->watches.find(fd); it != this->watches.end()) {
			this->UpdateEpoll(fd, it->second, it->second.WantedEvents());
		}
	}
	this->changed.clear();
}

void EpollDispatcher::registerTimer(int id, qint64 interval, Qt::TimerType type, QObject *object)
{
	const qint64 due = NowMs() + interval;
	this->timers[id] = Timer{interval, due, type, object};
	this->due_times.emplace(due, id);
}

bool EpollDispatcher::unregisterTimer(int id)
{
	const auto it = this->timers.find(id);
	if (it == this->timers.end()) {
		return false;
	}
	this->due_times.erase({it->second.due, id});
	this->timers.erase(it);
	return true;
}

bool EpollDispatcher::unregisterTimers(QObject *object)
{
	const QList<TimerInfo> all = this->registeredTimers(object);
	std::ranges::for_each(all, [this](const TimerInfo &it) { this->unregisterTimer(it.timerId); });
	return !all.isEmpty();
}

QList<EpollDispatcher::TimerInfo> EpollDispatcher::registeredTimers(QObject *object) const
{
	QList<TimerInfo> out;
	for (const auto &[id, timer] : this->timers) {
		if (timer.object == object) {
			out.append(TimerInfo(id, static_cast<int>(timer.interval), timer.type));
		}
	}
	return out;
}

int EpollDispatcher::remainingTime(int id)
{
	const auto it = this->timers.find(id);
	return it == this->timers.end() ? -1 : static_cast<int>(std::max<qint64>(it->second.due - NowMs(), 0));
}

void EpollDispatcher::wakeUp()
{
	if (this->woken.exchange(true)) {
		return;
	}
	if (QThread::currentThread() != this->thread()) {
		const char byte = 0;
		[[maybe_unused]] const ssize_t n = ::write(this->wake_pipe_write, &byte, 1);
	}
}

void EpollDispatcher::interrupt()
{
	this->interrupted = true;
	this->wakeUp();
}

void EpollDispatcher::DrainWakePipe()
{
	std::array<char, 64> bytes{};
	while (::read(this->wake_pipe_read, bytes.data(), bytes.size()) > 0) {
	}
}

int EpollDispatcher::WaitTimeout() const
{
	if (this->due_times.empty()) {
		return NO_TIMEOUT;
	}
	const qint64 remaining = this->due_times.begin()->first - NowMs();
	return static_cast<int>(std::clamp<qint64>(remaining, 0, std::numeric_limits<int>::max()));
}

int EpollDispatcher::Activate(int fd, uint32_t events)
{
	constexpr uint32_t ERROR_EVENTS = EPOLLHUP | EPOLLERR;
	struct NotifierEvents {
		QSocketNotifier::Type type;
		uint32_t events;
	};
	constexpr std::array<NotifierEvents, 3> NOTIFIER_EVENTS = {
			NotifierEvents{QSocketNotifier::Exception, EPOLLPRI},
			NotifierEvents{QSocketNotifier::Read, EPOLLIN | ERROR_EVENTS},
			NotifierEvents{QSocketNotifier::Write, EPOLLOUT | ERROR_EVENTS}};
	int n = 0;
	for (const NotifierEvents &kind : NOTIFIER_EVENTS) {
		/* Looked up each time: a notifier's handler may unregister the others. */
		const auto it = this->watches.find(fd);
		if (it == this->watches.end()) {
			return n;
		}
		if (QSocketNotifier *notifier = it->second.NotifierFor(kind.type);
			notifier != nullptr && (events & kind.events) != 0) {
			QEvent event(QEvent::SockAct);
			QCoreApplication::sendEvent(notifier, &event);
			n++;
		}
	}
	return n;
}

int EpollDispatcher::ActivateSockets(int wait)
{
	std::array<epoll_event, MAX_EVENTS_PER_WAIT> events{};
	const auto started_at = wait == 0 ? Clock::time_point() : Clock::now();
	const int count = ::epoll_wait(this->epoll, events.data(), MAX_EVENTS_PER_WAIT, wait);
	this->idle_time += wait == 0 ? Clock::duration(0) : Clock::now() - started_at;
	int n = 0;
	for (int i = 0; i < count; i++) {
		const epoll_event &event = events[static_cast<size_t>(i)];
		if (event.data.fd == this->wake_pipe_read) {
			this->DrainWakePipe();
		} else {
			n += this->Activate(event.data.fd, event.events);
		}
	}
	return n;
}

int EpollDispatcher::ActivateTimers()
{
	const qint64 now = NowMs();
	int n = 0;
	/* Each timer fires at most once per iteration, so that timers with a short interval do not starve sockets. */
	std::set<int> fired;
	while (!this->due_times.empty() && this->due_times.begin()->first <= now &&
		   !fired.contains(this->due_times.begin()->second)) {
		const int id = this->due_times.begin()->second;
		fired.insert(id);
		Timer &timer = this->timers.at(id);
		this->due_times.erase(this->due_times.begin());
		timer.due = now + timer.interval;
		this->due_times.emplace(timer.due, id);
		QTimerEvent event(id);
		QCoreApplication::sendEvent(timer.object, &event);
		n++;
	}
	return n;
}

bool EpollDispatcher::processEvents(QEventLoop::ProcessEventsFlags flags)
{
	this->interrupted = false;
	this->woken = false;
	Q_EMIT this->awake();
	QCoreApplication::sendPostedEvents();
	const bool may_wait = flags.testFlag(QEventLoop::WaitForMoreEvents) && !this->interrupted && !this->woken;
	if (may_wait) {
		Q_EMIT this->aboutToBlock();
	}
	this->ApplyChanges();
	const int n = this->ActivateSockets(may_wait ? this->WaitTimeout() : 0) + this->ActivateTimers();
	return n > 0;
}
