/** @file platform_client.h The platform over HTTP, by QNetworkAccessManager: every call is idempotent by its ids. */
#ifndef PLATFORM_CLIENT_H
#define PLATFORM_CLIENT_H

#include "../log/log_service.h"
#include "../platform_type.h"
#include "address_func.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>

/**
 * Log, list of boxes and control of boxes of one platform. QNetworkAccessManager may send a POST twice when the first
 * got no answer; appends carry proposal ids and orders carry permits or attempts, so that a second does no harm.
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

	/** @return Bytes of bodies sent and received. */
	[[nodiscard]] uint64_t Bytes() const { return this->bytes; }

private:
	/** What came back. */
	struct Reply {
		int status = 0;  ///< HTTP status, 0 without an answer.
		QByteArray body; ///< The body.
		QByteArray etag; ///< Version of what was asked for, if the platform gave one.
	};

	QNetworkAccessManager manager; ///< Qt's HTTP client.
	std::string base;              ///< http://IP:port
	QByteArray list_etag;          ///< Version of the list that is known.
	std::vector<ListedBox> listed; ///< The list that is known.
	uint64_t bytes = 0;            ///< Bytes of bodies.

	void Call(const char *method, const std::string &path, const QByteArray &body, int timeout,
			  std::function<void(const Reply &)> done, const QByteArray &known = {});
};

#endif /* PLATFORM_CLIENT_H */
