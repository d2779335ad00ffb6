/** @file caller_link.cpp Server side of HTTP connections. */
#include "caller_link.h"

#include <QPointer>

namespace {

constexpr qint64 READ_BUFFER_BYTES = 64 * 1024; ///< Size of Qt's read buffer; once full, TCP slows the caller.

} // namespace

CallerLink::CallerLink(QtScheduler &scheduler, RequestHandler &handler, const CallerLimits &limits,
					   std::atomic<int> &open_connections, qintptr descriptor)
		: scheduler(scheduler), handler(handler), limits(limits), open_connections(open_connections),
		  reader(limits.http)
{
	this->open_connections++;
	this->socket.setReadBufferSize(READ_BUFFER_BYTES);
	QObject::connect(&this->socket, &QTcpSocket::readyRead, this, [this] { this->OnReadable(); });
	QObject::connect(&this->socket, &QTcpSocket::disconnected, this, [this] { this->OnDisconnected(); });
	QObject::connect(&this->socket, &QTcpSocket::bytesWritten, this, [this] {
		if (this->served && !this->Congested()) {
			this->served->OnCallerWritable();
		} else if (!this->busy && !this->serving && !this->Congested()) {
			this->OnReadable();
		}
	});
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
	this->scheduler.Cancel(this->timer);
	if (this->served) {
		this->served->OnCallerDisconnected();
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

void CallerLink::ArmTimer()
{
	/* The timeout counts from the first byte of the head or body; later bytes do not extend it. */
	const bool for_body = this->reader.HeadDone();
	if (this->timer != TimerId() && this->timer_for_body == for_body && this->reader.HasPartialRequest()) {
		return;
	}
	this->scheduler.Cancel(this->timer);
	this->timer_for_body = for_body;
	Millis wait = this->limits.idle_wait;
	if (for_body) {
		wait = this->limits.body_wait;
	} else if (this->reader.HasPartialRequest()) {
		wait = this->limits.head_wait;
	}
	this->timer = this->scheduler.After(wait, [this] { this->OnTimeout(); });
}

void CallerLink::OnTimeout()
{
	this->timer = TimerId();
	if (this->busy) {
		return;
	}
	if (!this->reader.HasPartialRequest()) {
		this->socket.disconnectFromHost();
		return;
	}
	this->RejectRequest(ResultCode::RC_CALLER_TOO_SLOW);
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
	const bool was_idle = !this->reader.HasPartialRequest();
	const QByteArray data = this->socket.readAll();
	this->reader.Append(std::string_view(data.constData(), static_cast<size_t>(data.size())));
	if (was_idle) {
		this->scheduler.Cancel(this->timer);
		this->timer = TimerId();
	}
	this->ServeBuffered();
}

void CallerLink::ServeBuffered()
{
	while (!this->busy && !this->closing && !this->Congested() && this->ServeNext()) {
	}
}

bool CallerLink::ServeNext()
{
	switch (this->reader.Parse()) {
	case ParseProgress::PR_MORE:
		this->ArmTimer();
		return false;
	case ParseProgress::PR_CONTINUE:
		this->Write("HTTP/1.1 100 Continue\r\n\r\n");
		this->ArmTimer();
		return false;
	case ParseProgress::PR_BAD:
		this->RejectRequest(this->reader.Error());
		return false;
	case ParseProgress::PR_READY:
		break;
	}
	this->scheduler.Cancel(this->timer);
	this->timer = TimerId();
	CallerRequest request = this->reader.Take();
	request.from_peer = this->limits.from_peers;
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
	/* The start of the next request is unknown after an invalid one: answer and close. */
	this->busy = true;
	this->closing = true;
	ResponseHead head;
	head.status = HttpStatusOf(code);
	head.headers.Add(std::string(HEADER_RUN), "no");
	head.headers.Add(std::string(HEADER_CODE), std::to_string(static_cast<int>(code)));
	head.headers.Add("Content-Type", "application/json");
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
	if (this->closing) {
		this->socket.disconnectFromHost();
		return;
	}
	if (!this->serving) {
		this->scheduler.Post([this, self = QPointer<CallerLink>(this)] {
			if (self && !this->busy) {
				this->ArmTimer();
				this->OnReadable();
			}
		});
	} else {
		this->ArmTimer();
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
	if (!this->busy && !this->reader.HasPartialRequest()) {
		this->closing = true;
		this->socket.disconnectFromHost();
	}
}

void CallerLink::Write(std::string_view data)
{
	this->socket.write(data.data(), static_cast<qint64>(data.size()));
}
