/** @file lane.cpp A worker thread of an entry. */
#include "lane.h"

#include <QPointer>

#include <utility>
#include <vector>

namespace {

/** Serves each request with an Exchange. */
class ExchangeHandler : public RequestHandler {
public:
	ExchangeHandler(QtScheduler &scheduler, RequestPath &path, EndpointDialer &dialer)
			: scheduler(scheduler), path(path), dialer(dialer)
	{
	}

	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override
	{
		auto exchange = std::make_shared<Exchange>(this->scheduler, this->path, this->dialer, sink, std::move(request));
		exchange->Start();
		return exchange;
	}

	[[nodiscard]] bool Closing() const override { return this->path.stopping; }

private:
	QtScheduler &scheduler; ///< Clock and timers.
	RequestPath &path;      ///< State shared by all requests.
	EndpointDialer &dialer; ///< Starts calls to endpoints.
};

} // namespace

struct LaneState {
	LaneState(RequestPath &path, DialLimits dial_limits)
			: dialer(this->scheduler, dial_limits), handler(this->scheduler, path, this->dialer)
	{
	}

	QtScheduler scheduler;                   ///< Clock and timers.
	QtDialer dialer;                         ///< Starts calls to endpoints.
	ExchangeHandler handler;                 ///< Serves the requests.
	std::vector<QPointer<CallerLink>> links; ///< Connections; null once deleted.
};

Lane::Lane(RequestPath &path, CallerLimits caller_limits, CallerLimits peer_limits, DialLimits dial_limits)
		: path(path), caller_limits(std::move(caller_limits)), peer_limits(std::move(peer_limits)),
		  dial_limits(dial_limits)
{
	this->peer_limits.from_peers = true;
	this->receiver.moveToThread(&this->thread);
	this->thread.start();
	QMetaObject::invokeMethod(
			&this->receiver, [this] { this->state = new LaneState(this->path, this->dial_limits); },
			Qt::BlockingQueuedConnection);
}

Lane::~Lane()
{
	QMetaObject::invokeMethod(
			&this->receiver,
			[this] {
				for (const QPointer<CallerLink> &link : this->state->links) {
					delete link.data();
				}
				this->state->links.clear();
				delete this->state;
				this->state = nullptr;
			},
			Qt::BlockingQueuedConnection);
	this->thread.quit();
	this->thread.wait();
}

void Lane::AddConnection(qintptr descriptor, bool from_peer)
{
	this->state->scheduler.Post([this, descriptor, from_peer] {
		auto &links = this->state->links;
		std::erase_if(links, [](const QPointer<CallerLink> &it) { return it.isNull(); });
		links.emplace_back(new CallerLink(this->state->scheduler, this->state->handler,
										  from_peer ? this->peer_limits : this->caller_limits, this->open_connections,
										  descriptor));
	});
}

void Lane::CloseIdle()
{
	this->state->scheduler.Post([this] {
		for (const QPointer<CallerLink> &link : this->state->links) {
			if (link) {
				link->CloseIfIdle();
			}
		}
	});
}

void Lane::RunOnThread(const std::function<void()> &run)
{
	QMetaObject::invokeMethod(&this->receiver, run, Qt::BlockingQueuedConnection);
}
