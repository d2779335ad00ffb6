/** @file keeper_call.cpp One question to a keeper and its answer. */
#include "keeper_call.h"

#include "../net/qt_scheduler.h"

#include <QEventLoop>

std::unique_ptr<MessageUnion> CallKeeper(const std::vector<NetAddress> &keepers, const MessageUnion &question,
										 Millis wait)
{
	QtScheduler scheduler;
	FrameClient client(scheduler, keepers);
	QEventLoop loop;
	std::unique_ptr<MessageUnion> answer;
	bool sent = false;
	client.on_connected = [&] {
		/* Sent once: a second sending of the same question could publish twice. */
		if (!sent) {
			sent = true;
			client.Send(question);
		}
	};
	client.on_message = [&](const MessageUnion &message) {
		answer = std::make_unique<MessageUnion>(message);
		loop.quit();
	};
	client.on_disconnected = [&] {
		if (sent) {
			loop.quit();
		}
	};
	scheduler.After(wait, [&] { loop.quit(); });
	client.Start();
	loop.exec();
	return answer;
}
