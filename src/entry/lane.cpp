/** @file lane.cpp A thread of an entry. */
#include "lane.h"

#include <QPointer>

#include <vector>

namespace {

/** Serves requests by exchanges. */
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
	RequestPath &path;      ///< Shared by all requests.
	EndpointDialer &dialer; ///< Starts calls.
};

} // namespace

struct LaneParts {
	LaneParts(RequestPath &path, DialLimits dial)
			: dialer(this->scheduler, dial), handler(this->scheduler, path, this->dialer)
	{
	}

	QtScheduler scheduler;                   ///< Clock and timers.
	QtDialer dialer;                         ///< Starts calls.
	ExchangeHandler handler;                 ///< Serves requests.
	std::vector<QPointer<CallerLink>> links; ///< Connections, some gone.
};

Lane::Lane(RequestPath &path, CallerLimits callers, CallerLimits peers, DialLimits dial)
		: path(path), callers(callers), peers(peers), dial(dial)
{
	this->peers.from_peers = true;
	this->anchor.moveToThread(&this->thread);
	this->thread.start();
	QMetaObject::invokeMethod(
			&this->anchor, [this] { this->parts = new LaneParts(this->path, this->dial); },
			Qt::BlockingQueuedConnection);
}

Lane::~Lane()
{
	QMetaObject::invokeMethod(
			&this->anchor,
			[this] {
				for (const QPointer<CallerLink> &link : this->parts->links) {
					delete link.data();
				}
				this->parts->links.clear();
				delete this->parts;
				this->parts = nullptr;
			},
			Qt::BlockingQueuedConnection);
	this->thread.quit();
	this->thread.wait();
}

void Lane::AddConnection(qintptr descriptor, bool from_peer)
{
	this->parts->scheduler.Post([this, descriptor, from_peer] {
		auto &links = this->parts->links;
		std::erase_if(links, [](const QPointer<CallerLink> &it) { return it.isNull(); });
		links.emplace_back(new CallerLink(this->parts->scheduler, this->parts->handler,
										  from_peer ? this->peers : this->callers, this->open, descriptor));
	});
}

void Lane::CloseIdle()
{
	this->parts->scheduler.Post([this] {
		for (const QPointer<CallerLink> &link : this->parts->links) {
			if (link) {
				link->CloseIfIdle();
			}
		}
	});
}

void Lane::RunOnThread(const std::function<void()> &run)
{
	QMetaObject::invokeMethod(&this->anchor, run, Qt::BlockingQueuedConnection);
}
