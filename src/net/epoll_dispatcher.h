/** @file epoll_dispatcher.h Qt event dispatcher based on epoll: its cost does not grow with the number of sockets. */
#ifndef EPOLL_DISPATCHER_H
#define EPOLL_DISPATCHER_H

#include <QAbstractEventDispatcher>
#include <QSocketNotifier>

#include <atomic>
#include <chrono>
#include <map>
#include <set>
#include <unordered_map>

/**
 * Event dispatcher of one thread. Qt's own dispatcher passes all sockets to poll() in each iteration; a node that
 * watches hundreds of boxes spends over a third of its time there (docs/design/house-style.md).
 */
class EpollDispatcher : public QAbstractEventDispatcher {
public:
	EpollDispatcher();
	~EpollDispatcher() override;
	EpollDispatcher(const EpollDispatcher &) = delete;
	EpollDispatcher &operator=(const EpollDispatcher &) = delete;

	bool processEvents(QEventLoop::ProcessEventsFlags flags) override;
	void registerSocketNotifier(QSocketNotifier *notifier) override;
	void unregisterSocketNotifier(QSocketNotifier *notifier) override;
	void registerTimer(int id, qint64 interval, Qt::TimerType type, QObject *object) override;
	bool unregisterTimer(int id) override;
	bool unregisterTimers(QObject *object) override;
	[[nodiscard]] QList<TimerInfo> registeredTimers(QObject *object) const override;
	int remainingTime(int id) override;
	void wakeUp() override;
	void interrupt() override;

	/** @return Total time spent blocked in epoll_wait(); the rest of the elapsed time is work of the loop. */
	[[nodiscard]] std::chrono::nanoseconds IdleTime() const { return this->idle_time; }

private:
	/** A timer that repeats until it is unregistered. */
	struct Timer {
		qint64 interval = 0; ///< Interval in ms.
		qint64 due = 0;      ///< Next expiry in ms of SystemClock().
		Qt::TimerType type;  ///< Requested type; all timers are precise to 1 ms.
		QObject *object;     ///< Receives the timer event.
	};

	/** Notifiers of one descriptor. */
	struct Watch {
		QSocketNotifier *read = nullptr;   ///< Notifier for readable data.
		QSocketNotifier *write = nullptr;  ///< Notifier for free space in the send buffer.
		QSocketNotifier *urgent = nullptr; ///< Notifier for urgent data.
		uint32_t registered = 0;           ///< Event mask registered with epoll.

		[[nodiscard]] uint32_t WantedEvents() const;
		QSocketNotifier *&NotifierFor(QSocketNotifier::Type type);
	};

	int epoll;                                  ///< The epoll descriptor.
	int wake_pipe_read;                         ///< Read end of the wake-up pipe, for the loop.
	int wake_pipe_write;                        ///< Write end of the wake-up pipe, for other threads.
	std::atomic<bool> woken{false};             ///< Whether a wake-up is pending.
	std::atomic<bool> interrupted{false};       ///< Whether processEvents() must return without waiting.
	std::unordered_map<int, Watch> watches;     ///< Notifiers by descriptor.
	std::set<int> changed;                      ///< Descriptors whose event mask may differ from the registered one.
	std::map<int, Timer> timers;                ///< Timers by id.
	std::set<std::pair<qint64, int>> due_times; ///< Expiry times and timer ids, earliest first.
	std::chrono::nanoseconds idle_time{0};      ///< Total time spent blocked in epoll_wait().

	void ApplyChanges();
	void UpdateEpoll(int fd, Watch &watch, uint32_t wanted) const;
	[[nodiscard]] int WaitTimeout() const;
	int ActivateSockets(int wait);
	int Activate(int fd, uint32_t events);
	int ActivateTimers();
	void DrainWakePipe();
};

#endif /* EPOLL_DISPATCHER_H */
