/** @file keeper_call.cpp Sends one query to a keeper and waits for its response. */
#include "keeper_call.h"

#include "../net/qt_scheduler.h"

#include <QEventLoop>

std::unique_ptr<MessageUnion> CallKeeper(const std::vector<NetAddress> &keepers, const MessageUnion &query,
										 Millis timeout)
{
	QtScheduler scheduler;
	FrameClient client(scheduler, keepers);
	QEventLoop loop;
	std::unique_ptr<MessageUnion> response;
	bool sent = false;
	client.on_connected = [&] {
		/* Not sent again after a reconnect: a repeated publication could be applied twice. */
		if (!sent) {
			sent = true;
			client.Send(query);
		}
	};
	client.on_message = [&](const MessageUnion &message) {
		response = std::make_unique<MessageUnion>(message);
		loop.quit();
	};
	client.on_disconnected = [&] {
		if (sent) {
			loop.quit();
		}
	};
	scheduler.After(timeout, [&] { loop.quit(); });
	client.Start();
	loop.exec();
	return response;
}
