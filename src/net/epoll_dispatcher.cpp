/** @file epoll_dispatcher.cpp Qt's event loop over epoll. */
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

constexpr int EVENTS_AT_ONCE = 64; ///< Descriptors told by one call; more come with the next one.
constexpr int FOREVER = -1;        ///< Wait without limit.

qint64 NowMs()
{
	return SystemClock().Now().Value();
}

} // namespace

uint32_t EpollDispatcher::Watch::Wanted() const
{
	return (this->read != nullptr ? uint32_t{EPOLLIN} : 0U) | (this->write != nullptr ? uint32_t{EPOLLOUT} : 0U) |
		   (this->urgent != nullptr ? uint32_t{EPOLLPRI} : 0U);
}

QSocketNotifier *&EpollDispatcher::Watch::Of(QSocketNotifier::Type type)
{
	if (type == QSocketNotifier::Read) {
		return this->read;
	}
	return type == QSocketNotifier::Write ? this->write : this->urgent;
}

EpollDispatcher::EpollDispatcher() : epoll(::epoll_create1(EPOLL_CLOEXEC))
{
	std::array<int, 2> ends{};
	if (this->epoll < 0 || ::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
		qFatal("no descriptors for the event loop");
	}
	this->wake_read = ends[0];
	this->wake_write = ends[1];
	epoll_event event{};
	event.events = EPOLLIN;
	event.data.fd = this->wake_read;
	::epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->wake_read, &event);
}

EpollDispatcher::~EpollDispatcher()
{
	::close(this->wake_read);
	::close(this->wake_write);
	::close(this->epoll);
}

void EpollDispatcher::registerSocketNotifier(QSocketNotifier *notifier)
{
	const auto fd = static_cast<int>(notifier->socket());
	this->watches[fd].Of(notifier->type()) = notifier;
	/* Told before the next wait: most changes are taken back before that. */
	this->changed.insert(fd);
}

void EpollDispatcher::unregisterSocketNotifier(QSocketNotifier *notifier)
{
	const auto fd = static_cast<int>(notifier->socket());
	const auto it = this->watches.find(fd);
	if (it == this->watches.end() || it->second.Of(notifier->type()) != notifier) {
		return;
	}
	it->second.Of(notifier->type()) = nullptr;
	if (it->second.Wanted() != 0) {
		this->changed.insert(fd);
		return;
	}
	/* At once: the descriptor may be closed next, and its number given to another socket. */
	this->Tell(fd, it->second, 0);
	this->watches.erase(it);
	this->changed.erase(fd);
}

void EpollDispatcher::Tell(int fd, Watch &watch, uint32_t wanted) const
{
	if (watch.known == wanted) {
		return;
	}
	epoll_event event{};
	event.events = wanted;
	event.data.fd = fd;
	int how = EPOLL_CTL_MOD;
	if (watch.known == 0) {
		how = EPOLL_CTL_ADD;
	} else if (wanted == 0) {
		how = EPOLL_CTL_DEL;
	}
	if (::epoll_ctl(this->epoll, how, fd, &event) != 0 && how != EPOLL_CTL_DEL) {
		qWarning("descriptor %d can't be watched: error %d", fd, errno);
	}
	watch.known = wanted;
}

void EpollDispatcher::TellChanges()
{
	for (const int fd : this->changed) {
		if (const auto it = this->watches.find(fd); it != this->watches.end()) {
			this->Tell(fd, it->second, it->second.Wanted());
		}
	}
	this->changed.clear();
}

void EpollDispatcher::registerTimer(int id, qint64 interval, Qt::TimerType type, QObject *object)
{
	const qint64 due = NowMs() + interval;
	this->timers[id] = Timer{interval, due, type, object};
	this->order.emplace(due, id);
}

bool EpollDispatcher::unregisterTimer(int id)
{
	const auto it = this->timers.find(id);
	if (it == this->timers.end()) {
		return false;
	}
	this->order.erase({it->second.due, id});
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
		[[maybe_unused]] const ssize_t n = ::write(this->wake_write, &byte, 1);
	}
}

void EpollDispatcher::interrupt()
{
	this->interrupted = true;
	this->wakeUp();
}

void EpollDispatcher::DrainWake()
{
	std::array<char, 64> bytes{};
	while (::read(this->wake_read, bytes.data(), bytes.size()) > 0) {
	}
}

int EpollDispatcher::WaitTime() const
{
	if (this->order.empty()) {
		return FOREVER;
	}
	const qint64 left = this->order.begin()->first - NowMs();
	return static_cast<int>(std::clamp<qint64>(left, 0, std::numeric_limits<int>::max()));
}

int EpollDispatcher::Activate(int fd, uint32_t events)
{
	constexpr uint32_t BROKEN = EPOLLHUP | EPOLLERR;
	struct Part {
		QSocketNotifier::Type type;
		uint32_t events;
	};
	constexpr std::array<Part, 3> PARTS = {Part{QSocketNotifier::Exception, EPOLLPRI},
										   Part{QSocketNotifier::Read, EPOLLIN | BROKEN},
										   Part{QSocketNotifier::Write, EPOLLOUT | BROKEN}};
	int n = 0;
	for (const Part &part : PARTS) {
		/* Looked up each time: what one of them does may take the others away. */
		const auto it = this->watches.find(fd);
		if (it == this->watches.end()) {
			return n;
		}
		if (QSocketNotifier *notifier = it->second.Of(part.type); notifier != nullptr && (events & part.events) != 0) {
			QEvent event(QEvent::SockAct);
			QCoreApplication::sendEvent(notifier, &event);
			n++;
		}
	}
	return n;
}

int EpollDispatcher::ActivateSockets(int wait)
{
	std::array<epoll_event, EVENTS_AT_ONCE> events{};
	const auto begun = wait == 0 ? Clock::time_point() : Clock::now();
	const int count = ::epoll_wait(this->epoll, events.data(), EVENTS_AT_ONCE, wait);
	this->waited += wait == 0 ? Clock::duration(0) : Clock::now() - begun;
	int n = 0;
	for (int i = 0; i < count; i++) {
		const epoll_event &event = events[static_cast<size_t>(i)];
		if (event.data.fd == this->wake_read) {
			this->DrainWake();
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
	/* A timer that is due again at once waits for the next turn, so that sockets are served between. */
	std::set<int> done;
	while (!this->order.empty() && this->order.begin()->first <= now && !done.contains(this->order.begin()->second)) {
		const int id = this->order.begin()->second;
		done.insert(id);
		Timer &timer = this->timers.at(id);
		this->order.erase(this->order.begin());
		timer.due = now + timer.interval;
		this->order.emplace(timer.due, id);
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
	this->TellChanges();
	const int n = this->ActivateSockets(may_wait ? this->WaitTime() : 0) + this->ActivateTimers();
	return n > 0;
}
