/** @file epoll_dispatcher.h Qt's event loop over epoll: the work of a turn doesn't grow with the number of sockets. */
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
 * Event dispatcher of one thread. Qt's own one hands all sockets to poll() in each turn; a node that watches hundreds
 * of boxes spends over a third of its time there (docs/design/house-style.md).
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

	/** @return Time spent waiting for something to do, so far: what is left of a second is the loop's work. */
	[[nodiscard]] std::chrono::nanoseconds IdleTime() const { return this->waited; }

private:
	/** A timer that repeats until it is taken away. */
	struct Timer {
		qint64 interval = 0; ///< ms.
		qint64 due = 0;      ///< ms of SystemClock().
		Qt::TimerType type;  ///< As asked for; all are precise to the ms.
		QObject *object;     ///< Gets the event.
	};

	/** Who watches a descriptor. */
	struct Watch {
		QSocketNotifier *read = nullptr;   ///< Wants to know of bytes.
		QSocketNotifier *write = nullptr;  ///< Wants to know of room.
		QSocketNotifier *urgent = nullptr; ///< Wants to know of urgent bytes.
		uint32_t known = 0;                ///< Events that epoll knows of.

		[[nodiscard]] uint32_t Wanted() const;
		QSocketNotifier *&Of(QSocketNotifier::Type type);
	};

	int epoll;                              ///< The epoll descriptor.
	int wake_read;                          ///< Read by the loop.
	int wake_write;                         ///< Written by other threads.
	std::atomic<bool> woken{false};         ///< Whether a wake-up is under way.
	std::atomic<bool> interrupted{false};   ///< Whether processEvents() is to return.
	std::unordered_map<int, Watch> watches; ///< By descriptor.
	std::set<int> changed;                  ///< Descriptors whose wanted events may differ from those that epoll knows.
	std::map<int, Timer> timers;            ///< By id.
	std::set<std::pair<qint64, int>> order; ///< Due times and ids.
	std::chrono::nanoseconds waited{0};     ///< For Waited().

	void TellChanges();
	void Tell(int fd, Watch &watch, uint32_t wanted) const;
	[[nodiscard]] int WaitTime() const;
	int ActivateSockets(int wait);
	int Activate(int fd, uint32_t events);
	int ActivateTimers();
	void DrainWake();
};

#endif /* EPOLL_DISPATCHER_H */
