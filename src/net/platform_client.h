/** @file platform_client.h HTTP client of the platform, using QNetworkAccessManager: ids make every call idempotent. */
#ifndef PLATFORM_CLIENT_H
#define PLATFORM_CLIENT_H

#include "../log/log_service.h"
#include "../platform_type.h"
#include "address_func.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>

/**
 * Log, box list and box control of one platform. QNetworkAccessManager may repeat a POST that got no response; appends
 * carry proposal ids and orders carry permits or attempt numbers, so that a repeated request has no further effect.
 */
class PlatformClient : public LogService, public BoxList, public BoxControl {
public:
	/**
	 * @param platform Address of the platform.
	 */
	explicit PlatformClient(const NetAddress &platform);

	void Append(std::string bytes, std::function<void(AppendAnswer)> done) override;
	void Read(LogOffset from, std::function<void(ReadAnswer)> done) override;
	void Fetch(std::function<void(ResultCode, std::vector<ListedBox>)> done) override;
	void Reboot(const BoxName &box, PermitId permit) override;
	void StartJob(const Job &job) override;
	void StopJob(const Job &job) override;
	void FetchJobEnds(std::function<void(ResultCode, std::vector<JobEnd>)> done) override;
	void Acknowledge(const JobEnd &end) override;

	/** @return Bytes of request and response bodies. */
	[[nodiscard]] uint64_t Bytes() const { return this->bytes; }

private:
	/** Response to a request. */
	struct Reply {
		int status = 0;  ///< HTTP status, or 0 without a response.
		QByteArray body; ///< Response body.
		QByteArray etag; ///< ETag of the resource, if any.
	};

	QNetworkAccessManager manager; ///< Qt's HTTP client.
	std::string base;              ///< Base URL, http://IP:port.
	QByteArray list_etag;          ///< ETag of the cached box list; empty before the first.
	std::vector<ListedBox> listed; ///< Cached box list.
	uint64_t bytes = 0;            ///< For Bytes().

	void Call(const char *method, const std::string &path, const QByteArray &body, int timeout,
			  std::function<void(const Reply &)> done, const QByteArray &known_etag = {});
};

#endif /* PLATFORM_CLIENT_H */
