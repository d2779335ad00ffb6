/** @file caller_link.cpp Server side of HTTP connections. */
#include "caller_link.h"

#include <QPointer>

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace {

constexpr Millis BODY_CHECK_INTERVAL(1000); ///< Interval at which the rate of a body is checked after its grace time.
/** Time from the refusal of a request that is still being sent to the end of the connection, which then is reset: the
 * caller would lose the response if it were reset at once. */
constexpr Millis CLOSE_WAIT(500);
constexpr const char *RETRY_AFTER_SECONDS = "1"; ///< Value of Retry-After when other requests take the memory.
constexpr int STATUS_UNAVAILABLE = 503;          ///< Nothing was done; to be retried later.

} // namespace

CallerLink::CallerLink(QtScheduler &scheduler, RequestHandler &handler, const CallerLimits &limits,
					   std::atomic<int> &open_connections, qintptr descriptor, CallerLinkOwner *owner)
		: scheduler(scheduler), handler(handler), limits(limits), open_connections(open_connections), owner(owner),
		  reader(limits.http, this)
{
	this->open_connections++;
	this->socket.setReadBufferSize(this->limits.read_buffer_bytes);
	QObject::connect(&this->socket, &QTcpSocket::readyRead, this, [this] { this->OnReadable(); });
	QObject::connect(&this->socket, &QTcpSocket::disconnected, this, [this] { this->OnDisconnected(); });
	QObject::connect(&this->socket, &QTcpSocket::bytesWritten, this, [this] { this->OnWritten(); });
	if (!this->socket.setSocketDescriptor(descriptor)) {
		this->deleteLater();
		return;
	}
	this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
	this->ArmTimer();
}

CallerLink::~CallerLink()
{
	this->open_connections--;
	this->CancelTimer();
	/* No signal of the socket may reach this object any more. */
	this->socket.disconnect(this);
	this->socket.abort();
	if (this->served) {
		this->served->OnCallerDisconnected();
	}
	if (this->owner != nullptr) {
		this->owner->OnClosed(*this);
	}
}

void CallerLink::OnDisconnected()
{
	if (this->served) {
		const auto abandoned = std::move(this->served);
		abandoned->OnCallerDisconnected();
	}
	this->deleteLater();
}

void CallerLink::NoteRefusal(CallerRefusal reason)
{
	if (this->owner != nullptr) {
		this->owner->OnRefused(reason);
	}
}

CallerLink::Wait CallerLink::CurrentWait() const
{
	if (this->busy) {
		return Wait::W_SERVING;
	}
	if (this->socket.bytesToWrite() > 0 && (this->closing || this->Congested())) {
		return Wait::W_SEND;
	}
	if (this->closing) {
		return Wait::W_CLOSE;
	}
	if (this->reader.HeadDone()) {
		return Wait::W_BODY;
	}
	return this->reader.HasPartialRequest() ? Wait::W_HEAD : Wait::W_REQUEST;
}

Millis CallerLink::WaitLimit(Wait wait) const
{
	switch (wait) {
	case Wait::W_HEAD:
		return this->limits.head_wait;
	case Wait::W_BODY:
		return std::min(this->limits.body_grace, this->limits.body_wait);
	case Wait::W_SEND:
		return this->limits.send_wait;
	case Wait::W_CLOSE:
		return CLOSE_WAIT;
	default:
		return this->limits.idle_wait;
	}
}

void CallerLink::CancelTimer()
{
	this->scheduler.Cancel(std::exchange(this->timer, TimerId()));
}

void CallerLink::ArmTimer()
{
	const Wait wait = this->CurrentWait();
	/* The limit counts from the first byte of a head or body; later bytes do not extend it. */
	if (this->timer != TimerId() && this->timer_for == wait) {
		return;
	}
	this->CancelTimer();
	if (wait != Wait::W_SERVING) {
		this->timer_for = wait;
		this->timer = this->scheduler.After(this->WaitLimit(wait), [this] { this->OnTimeout(); });
	}
}

bool CallerLink::BodyKeepsUp() const
{
	const Millis span = this->scheduler.Now() - this->body_since;
	return span < this->limits.body_wait &&
		   static_cast<int64_t>(this->reader.BodyReceived()) * MS_PER_SECOND >= this->limits.body_rate * span.Value();
}

void CallerLink::OnTimeout()
{
	this->timer = TimerId();
	switch (this->CurrentWait()) {
	case Wait::W_SERVING:
		return;
	case Wait::W_REQUEST:
		this->closing = true;
		this->CloseAfterResponse();
		return;
	case Wait::W_SEND:
		this->NoteRefusal(CallerRefusal::CR_TOO_SLOW);
		this->socket.abort();
		return;
	case Wait::W_CLOSE:
		this->socket.abort();
		return;
	case Wait::W_BODY:
		if (this->BodyKeepsUp()) {
			this->timer = this->scheduler.After(BODY_CHECK_INTERVAL, [this] { this->OnTimeout(); });
			return;
		}
		break;
	case Wait::W_HEAD:
		break;
	}
	this->RejectRequest(ResultCode::RC_CALLER_TOO_SLOW);
}

void CallerLink::OnWritten()
{
	if (this->served && !this->Congested()) {
		this->served->OnCallerWritable();
		return;
	}
	if (this->busy || this->timer == TimerId() || this->timer_for != Wait::W_SEND) {
		return;
	}
	this->CancelTimer(); /* The caller has taken some bytes: the limit counts from now. */
	if (this->closing) {
		this->CloseAfterResponse();
	} else if (this->Congested()) {
		this->ArmTimer();
	} else {
		this->OnReadable();
	}
}

void CallerLink::OnReadable()
{
	/* Pipelined requests are served before more bytes are taken in; until then these stay in the socket's buffer. */
	if (!this->busy && !this->closing && this->reader.Buffered() > 0) {
		this->ServeBuffered();
	}
	if (this->busy || this->closing || this->Congested()) {
		return;
	}
	const QByteArray data = this->socket.readAll();
	this->reader.Append(std::string_view(data.constData(), static_cast<size_t>(data.size())));
	this->ServeBuffered();
}

void CallerLink::ServeBuffered()
{
	while (!this->busy && !this->closing && !this->Congested() && this->ServeNext()) {
	}
	if (!this->busy) {
		this->ArmTimer();
	}
}

BodyHandling CallerLink::OnHead(const CallerRequest &head, std::optional<uint64_t> length)
{
	this->body_since = this->scheduler.Now();
	if (!this->handler.WantsBody(head)) {
		return BodyHandling::BH_DROP;
	}
	if (this->limits.bodies) {
		this->body_share = std::make_shared<ByteShare>(this->limits.bodies);
	}
	return this->OnGrow(length.value_or(1)) ? BodyHandling::BH_STORE : BodyHandling::BH_REFUSE;
}

bool CallerLink::OnGrow(size_t bytes)
{
	if (!this->body_share || this->body_share->Cover(bytes) ||
		(this->owner != nullptr && this->owner->MakeRoom(*this, bytes) && this->body_share->Cover(bytes))) {
		this->body_bytes = bytes;
		return true;
	}
	return false;
}

bool CallerLink::ServeNext()
{
	switch (this->reader.Parse()) {
	case ParseProgress::PR_MORE:
		return false;
	case ParseProgress::PR_CONTINUE:
		this->Write("HTTP/1.1 100 Continue\r\n\r\n");
		return false;
	case ParseProgress::PR_BAD:
		this->RejectRequest(this->reader.Error());
		return false;
	case ParseProgress::PR_READY:
		break;
	}
	this->CancelTimer();
	CallerRequest request = this->reader.Take();
	request.from_peer = this->limits.from_peers;
	request.body_share = std::exchange(this->body_share, nullptr);
	this->body_bytes = 0;
	this->omit_body = request.method == "HEAD";
	this->busy = true;
	this->serving = true;
	std::shared_ptr<ServedRequest> started = this->handler.Serve(*this, std::move(request));
	this->serving = false;
	if (this->busy) {
		this->served = std::move(started);
		return false;
	}
	return true;
}

void CallerLink::RejectRequest(ResultCode code)
{
	this->NoteRefusal(code == ResultCode::RC_CALLERS_FULL      ? CallerRefusal::CR_BODIES_FULL
					  : code == ResultCode::RC_CALLER_TOO_SLOW ? CallerRefusal::CR_TOO_SLOW
															   : CallerRefusal::CR_INVALID);
	this->reader.Clear();
	this->body_share.reset();
	this->body_bytes = 0;
	/* The start of the next request is unknown after an invalid one: answer and close. */
	this->busy = true;
	this->closing = true;
	this->refused = true;
	ResponseHead head;
	head.status = HttpStatusOf(code);
	head.headers.Add(std::string(HEADER_RUN), "no");
	head.headers.Add(std::string(HEADER_CODE), std::to_string(static_cast<int>(code)));
	head.headers.Add("Content-Type", "application/json");
	if (head.status == STATUS_UNAVAILABLE) {
		head.headers.Add("Retry-After", RETRY_AFTER_SECONDS);
	}
	const std::string body = std::string("{\"code\":") + std::to_string(static_cast<int>(code)) + ",\"symbol\":\"" +
							 SymbolOf(code) + "\",\"message\":\"" + make_error_code(code).message() +
							 "\",\"run\":\"no\"}\n";
	head.length = body.size();
	this->Begin(head);
	this->Body(body);
	this->End();
}

void CallerLink::Begin(const ResponseHead &head)
{
	this->closing = this->closing || !this->reader.KeepAlive() || this->handler.Closing();
	this->omit_body = this->omit_body || head.no_body;
	if (head.length || this->omit_body) {
		this->framing = BodyFraming::BF_LENGTH;
	} else {
		this->framing = this->reader.AcceptsChunked() ? BodyFraming::BF_CHUNKS : BodyFraming::BF_CLOSE;
	}
	this->closing = this->closing || this->framing == BodyFraming::BF_CLOSE;
	this->Write(WriteResponseHead(head, this->framing, !this->closing));
}

void CallerLink::Body(std::string_view data)
{
	if (data.empty() || this->omit_body) {
		return;
	}
	if (this->framing == BodyFraming::BF_CHUNKS) {
		this->Write(WriteChunk(data));
	} else {
		this->Write(data);
	}
}

void CallerLink::End()
{
	if (this->framing == BodyFraming::BF_CHUNKS && !this->omit_body) {
		this->Write(FinalChunk());
	}
	/* Send now instead of in the next event loop iteration. */
	this->socket.flush();
	this->served.reset();
	this->busy = false;
	this->omit_body = false;
	if (this->owner != nullptr && !this->refused) {
		this->owner->OnServed(*this);
	}
	if (this->closing) {
		this->CloseAfterResponse();
		return;
	}
	if (!this->serving) {
		this->scheduler.Post([this, self = QPointer<CallerLink>(this)] {
			if (self && !this->busy) {
				this->OnReadable();
				this->ArmTimer();
			}
		});
	}
}

void CallerLink::CloseAfterResponse()
{
	this->ArmTimer();
	if (this->socket.bytesToWrite() > 0) {
		return; /* OnWritten() continues. */
	}
	if (!this->refused) {
		this->socket.disconnectFromHost();
	} else if (!std::exchange(this->closed_output, true)) {
		/* The rest of the request is not read: that would cost as much as serving it. */
		this->socket.setReadBufferSize(1);
		this->socket.readAll();
		::shutdown(static_cast<int>(this->socket.socketDescriptor()), SHUT_WR);
	}
}

void CallerLink::Abort()
{
	this->served.reset();
	this->busy = false;
	this->closing = true;
	/* Reset instead of an orderly close: a caller that reads until the connection closes must notice the truncation. */
	this->socket.abort();
}

bool CallerLink::Congested() const
{
	return this->socket.bytesToWrite() > this->limits.response_buffer_bytes;
}

void CallerLink::CloseIfIdle()
{
	if (!this->busy && !this->closing && !this->reader.HasPartialRequest()) {
		this->closing = true;
		this->CloseAfterResponse();
	}
}

void CallerLink::Write(std::string_view data)
{
	this->socket.write(data.data(), static_cast<qint64>(data.size()));
}
