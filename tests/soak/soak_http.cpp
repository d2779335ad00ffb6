/** @file soak_http.cpp HTTP listener and deferred answers for the servers of the soak test. */
#include "soak_http.h"

#include <QJsonDocument>
#include <QUrl>

#include <utility>

namespace {

constexpr size_t BODY_BYTES_MAX = 4 * 1024 * 1024; ///< Largest call: the store takes 2 MB of records in one.

} // namespace

void DeferredAnswer::Answer(int status, const std::string &body)
{
	if (CallerSink *to = std::exchange(this->sink, nullptr); to != nullptr) {
		ResponseHead head;
		head.status = status;
		head.length = body.size();
		to->Begin(head);
		to->Body(body);
		to->End();
	}
}

void DeferredAnswer::Answer(int status, const QJsonObject &json)
{
	this->Answer(status, BodyOf(json));
}

void DeferredAnswer::Disconnect()
{
	if (CallerSink *to = std::exchange(this->sink, nullptr); to != nullptr) {
		to->Abort();
	}
}

SoakListener::SoakListener(QtScheduler &scheduler, ServeFunction serve)
		: serve(std::move(serve)), listener([this, &scheduler](qintptr descriptor) {
			  new CallerLink(scheduler, *this, this->limits, this->open, descriptor);
		  })
{
	this->limits.http.body_bytes = BODY_BYTES_MAX;
}

bool SoakListener::Listen()
{
	return this->listener.listen(QHostAddress::LocalHost, 0);
}

std::shared_ptr<ServedRequest> SoakListener::Serve(CallerSink &sink, CallerRequest request)
{
	auto answer = std::make_shared<DeferredAnswer>(sink);
	this->serve(answer, request);
	return answer->IsPending() ? answer : nullptr;
}

QUrlQuery QueryOf(const std::string &target)
{
	return QUrlQuery(QUrl(QString::fromStdString("http://soak" + target)).query(QUrl::FullyDecoded));
}

std::string PathOf(const std::string &target)
{
	return target.substr(0, target.find('?'));
}

QJsonObject JsonOf(const std::string &body)
{
	return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
}

std::string BodyOf(const QJsonObject &json)
{
	return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}
