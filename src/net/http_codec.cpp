/** @file http_codec.cpp Parsing and serializing of HTTP/1.1 messages with Boost.Beast. */
#include "http_codec.h"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

namespace http = boost::beast::http;

namespace {

/* Beast 1.74 rejects every Content-Length when the limit is set to none. */
constexpr uint64_t NO_BODY_LIMIT = uint64_t{1} << 62; ///< Body limit of responses: effectively unlimited.
constexpr size_t BODY_PART_BYTES = 16 * 1024;         ///< Maximum size of a body part that is passed to the handler.
constexpr int STATUS_NO_CONTENT = 204;                ///< Response without a body.
constexpr int STATUS_NOT_MODIFIED = 304;              ///< Response without a body.
constexpr int STATUS_FIRST_FINAL = 200;               ///< Lower status codes are interim responses.
constexpr size_t HEAD_RESERVE_BYTES = 256;            ///< Bytes reserved for the head of a request.
constexpr unsigned HTTP_1_1 = 11;                     ///< Beast's encoding of HTTP/1.1.

/** Buffer for a part of a body, shared by all readers of a thread. */
thread_local std::array<char, BODY_PART_BYTES> _body_part;

/** @return Whether a line ends in LF without CR. */
bool HasBareLf(const std::string &text)
{
	for (size_t at = text.find('\n'); at != std::string::npos; at = text.find('\n', at + 1)) {
		if (at == 0 || text[at - 1] != '\r') {
			return true;
		}
	}
	return false;
}

/** Copies the header fields of a Beast message. */
template <class Message>
HeaderList FieldsOf(const Message &message)
{
	HeaderList list;
	for (const auto &field : message) {
		list.Add(std::string(field.name_string()), std::string(field.value()));
	}
	return list;
}

/**
 * Serializes a Beast message.
 * @param serializer Serializer of the message.
 * @param head_only Whether to stop after the head.
 * @return The message as sent on the wire.
 */
template <class Serializer>
std::string Serialize(Serializer &serializer, bool head_only)
{
	std::string out;
	boost::system::error_code ec;
	serializer.split(head_only);
	while (!serializer.is_done() && !(head_only && serializer.is_header_done())) {
		serializer.next(ec, [&](boost::system::error_code &, const auto &buffers) {
			out += boost::beast::buffers_to_string(buffers);
			serializer.consume(boost::beast::buffer_bytes(buffers));
		});
		if (ec) {
			break;
		}
	}
	return out;
}

} // namespace

/** Beast's request parser, passing the body on in parts. */
struct RequestReader::Parser {
	http::request_parser<http::buffer_body> beast; ///< The parser.
};

RequestReader::RequestReader(HttpLimits limits, BodyAdmission *admission) : limits(limits), admission(admission)
{
	this->Reset();
}

RequestReader::~RequestReader() = default;

void RequestReader::Reset()
{
	this->parser = std::make_unique<Parser>();
	this->parser->beast.header_limit(static_cast<uint32_t>(this->limits.header_bytes));
	this->parser->beast.body_limit(this->limits.body_bytes);
	std::string().swap(this->request.body); /* An assignment would keep the memory. */
	this->request = CallerRequest();
	this->head_taken = false;
	this->body_received = 0;
	this->started = false;
	this->continue_sent = false;
}

bool RequestReader::HasPartialRequest() const
{
	return this->started || !this->buf.empty();
}

bool RequestReader::HeadDone() const
{
	return this->parser->beast.is_header_done();
}

bool RequestReader::HeadIsInvalid() const
{
	const auto &message = this->parser->beast.get();
	/* Beast treats a request with an unknown transfer coding as having no body; the body would be parsed as the next
	 * request. */
	const auto codings = message.count(http::field::transfer_encoding);
	if (codings > 1 ||
		(codings == 1 && !EqualsIgnoreCase(std::string(message[http::field::transfer_encoding]), "chunked"))) {
		return true;
	}
	const std::string length(message[http::field::content_length]);
	if (length.find_first_not_of("0123456789") != std::string::npos) {
		return true; /* Beast accepts a list of equal lengths; other servers may interpret it differently. */
	}
	const bool http_1_0 = message.version() < HTTP_1_1;
	const auto hosts = message.count(http::field::host);
	return (http_1_0 && codings > 0) || hosts > 1 || (!http_1_0 && hosts == 0) || message.target().empty();
}

void RequestReader::Clear()
{
	std::string().swap(this->buf);
	this->Reset();
}

ParseProgress RequestReader::Reject(ResultCode code)
{
	this->error = code;
	return ParseProgress::PR_BAD;
}

std::optional<uint64_t> RequestReader::StatedLength() const
{
	const auto length = this->parser->beast.content_length();
	return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

ParseProgress RequestReader::Parse()
{
	ParseProgress progress = this->head_taken ? ParseProgress::PR_READY : this->ParseHead();
	if (progress == ParseProgress::PR_READY) {
		progress = this->ParseBody();
	}
	if (this->buf.empty()) {
		std::string().swap(this->buf); /* Many connections wait for bytes: none keeps a buffer meanwhile. */
	}
	return progress;
}

ParseProgress RequestReader::ParseHead()
{
	auto &beast = this->parser->beast;
	if (this->buf.empty()) {
		return ParseProgress::PR_MORE;
	}
	boost::system::error_code ec;
	const size_t n = beast.put(boost::asio::buffer(this->buf), ec);
	this->buf.erase(0, n);
	this->started = this->started || n > 0;
	if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
		return this->Reject(ec == http::error::header_limit ? ResultCode::RC_HEADER_TOO_LARGE
							: ec == http::error::body_limit ? ResultCode::RC_BODY_TOO_LARGE
															: ResultCode::RC_BAD_REQUEST);
	}
	if (beast.is_header_done()) {
		return this->TakeHead();
	}
	/* Beast keeps waiting for a CR if the head uses bare LFs. */
	if (HasBareLf(this->buf)) {
		return this->Reject(ResultCode::RC_BAD_REQUEST);
	}
	return this->buf.size() > this->limits.header_bytes ? this->Reject(ResultCode::RC_HEADER_TOO_LARGE)
														: ParseProgress::PR_MORE;
}

ParseProgress RequestReader::TakeHead()
{
	if (this->HeadIsInvalid()) {
		return this->Reject(ResultCode::RC_BAD_REQUEST);
	}
	auto &beast = this->parser->beast;
	const auto &message = beast.get();
	this->request.method = std::string(message.method_string());
	this->request.target = std::string(message.target());
	this->request.headers = FieldsOf(message);
	this->head_taken = true;
	if (!beast.is_done() && this->admission != nullptr) {
		const BodyHandling handling = this->admission->OnHead(this->request, this->StatedLength());
		if (handling == BodyHandling::BH_REFUSE) {
			return this->Reject(ResultCode::RC_CALLERS_FULL);
		}
		this->request.body_dropped = handling == BodyHandling::BH_DROP;
	}
	beast.eager(true);
	return ParseProgress::PR_READY;
}

ParseProgress RequestReader::ParseBody()
{
	auto &beast = this->parser->beast;
	while (!this->buf.empty() && !beast.is_done()) {
		boost::system::error_code ec;
		auto &body = beast.get().body();
		body.data = _body_part.data();
		body.size = _body_part.size();
		body.more = true;
		const size_t n = beast.put(boost::asio::buffer(this->buf), ec);
		this->buf.erase(0, n);
		const size_t got = _body_part.size() - body.size;
		this->body_received += got;
		if (!this->StoreBody(std::string_view(_body_part.data(), got))) {
			return this->Reject(ResultCode::RC_CALLERS_FULL);
		}
		if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
			return this->Reject(ec == http::error::body_limit ? ResultCode::RC_BODY_TOO_LARGE
															  : ResultCode::RC_BAD_REQUEST);
		}
		if (n == 0 && got == 0) {
			break;
		}
	}
	if (beast.is_done()) {
		return ParseProgress::PR_READY;
	}
	/* What is left is the start of a line between chunks. */
	if (this->buf.size() > this->limits.header_bytes) {
		return this->Reject(ResultCode::RC_BAD_REQUEST);
	}
	if (!this->continue_sent && EqualsIgnoreCase(std::string(beast.get()[http::field::expect]), "100-continue")) {
		this->continue_sent = true;
		return ParseProgress::PR_CONTINUE;
	}
	return ParseProgress::PR_MORE;
}

bool RequestReader::StoreBody(std::string_view part)
{
	std::string &body = this->request.body;
	const size_t wanted = body.size() + part.size();
	if (part.empty() || this->request.body_dropped) {
		return true;
	}
	if (wanted > body.capacity()) {
		const size_t doubled = std::min(2 * std::max(body.capacity(), BODY_PART_BYTES / 2), this->limits.body_bytes);
		const size_t capacity = std::max<size_t>(wanted, this->StatedLength().value_or(doubled));
		if (this->admission != nullptr && !this->admission->OnGrow(capacity)) {
			return false;
		}
		body.reserve(capacity);
	}
	body.append(part);
	return true;
}

CallerRequest RequestReader::Take()
{
	const auto &message = this->parser->beast.get();
	this->keep_alive = message.keep_alive();
	this->accepts_chunked = message.version() >= HTTP_1_1;
	CallerRequest taken = std::move(this->request);
	this->Reset();
	return taken;
}

/** Beast's response parser, passing the body on in parts. */
struct ResponseReader::Parser {
	http::response_parser<http::buffer_body> beast; ///< The parser.
};

ResponseReader::ResponseReader(bool head_request) : head_request(head_request), parser(std::make_unique<Parser>())
{
	this->parser->beast.body_limit(NO_BODY_LIMIT);
	this->parser->beast.skip(head_request);
}

ResponseReader::~ResponseReader() = default;

bool ResponseReader::KeepAlive() const
{
	return this->done && this->parser->beast.keep_alive();
}

void ResponseReader::DeliverHead(ResponseHandler &parts)
{
	const auto &message = this->parser->beast.get();
	ResponseHead head;
	head.status = static_cast<int>(message.result_int());
	head.reason = std::string(message.reason());
	head.headers = FieldsOf(message);
	head.no_body = this->head_request || head.status == STATUS_NO_CONTENT || head.status == STATUS_NOT_MODIFIED;
	if (const auto length = this->parser->beast.content_length(); length) {
		head.length = *length;
	}
	this->head_done = true;
	parts.OnHead(std::move(head));
}

bool ResponseReader::ReadHead(ResponseHandler &parts)
{
	auto &beast = this->parser->beast;
	boost::system::error_code ec;
	const size_t n = beast.put(boost::asio::buffer(this->buf), ec);
	this->buf.erase(0, n);
	if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
		return false;
	}
	if (!beast.is_header_done()) {
		return true;
	}
	if (static_cast<int>(beast.get().result_int()) < STATUS_FIRST_FINAL) {
		/* Interim response: the final one follows. */
		this->parser = std::make_unique<Parser>();
		this->parser->beast.body_limit(NO_BODY_LIMIT);
		this->parser->beast.skip(this->head_request);
		return true;
	}
	this->DeliverHead(parts);
	return true;
}

bool ResponseReader::ReadBody(ResponseHandler &parts)
{
	auto &beast = this->parser->beast;
	boost::system::error_code ec;
	auto &body = beast.get().body();
	body.data = _body_part.data();
	body.size = _body_part.size();
	body.more = true;
	const size_t n = beast.put(boost::asio::buffer(this->buf), ec);
	this->buf.erase(0, n);
	if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
		return false;
	}
	if (const size_t got = _body_part.size() - body.size; got > 0) {
		parts.OnBody(std::string_view(_body_part.data(), got));
	}
	return true;
}

bool ResponseReader::Read(std::string_view data, ResponseHandler &parts)
{
	this->buf.append(data);
	while (!this->done) {
		if (this->head_done && this->parser->beast.is_done()) {
			this->done = true;
			break;
		}
		const size_t before = this->buf.size();
		if (before == 0) {
			break;
		}
		const bool had_head = this->head_done;
		if (!(had_head ? this->ReadBody(parts) : this->ReadHead(parts))) {
			return false;
		}
		if (this->buf.size() == before && this->head_done == had_head) {
			break;
		}
	}
	return true;
}

bool ResponseReader::Eof()
{
	if (this->done || !this->head_done) {
		return this->done;
	}
	boost::system::error_code ec;
	this->parser->beast.put_eof(ec);
	this->done = !ec && this->parser->beast.is_done();
	return this->done;
}

std::string WriteRequest(const CallerRequest &request, const std::string &host)
{
	/* Does not use Beast's serializer: it cost an owner more time than the socket writes. */
	const bool has_body =
			!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
	std::string out;
	out.reserve(HEAD_RESERVE_BYTES + request.body.size());
	out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
	for (const HeaderField &field : request.headers.fields) {
		out.append(field.name).append(": ").append(field.value).append("\r\n");
	}
	if (request.headers.Find("Host") == nullptr) {
		out.append("Host: ").append(host).append("\r\n");
	}
	if (has_body) {
		out.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
	}
	return out.append("\r\n").append(request.body);
}

std::string WriteResponseHead(const ResponseHead &head, BodyFraming framing, bool keep_alive)
{
	http::response<http::empty_body> message;
	message.version(HTTP_1_1);
	message.result(static_cast<unsigned>(head.status));
	if (!head.reason.empty()) {
		message.reason(head.reason);
	}
	for (const HeaderField &field : head.headers.fields) {
		message.insert(field.name, field.value);
	}
	message.keep_alive(keep_alive && framing != BodyFraming::BF_CLOSE);
	if (framing == BodyFraming::BF_CHUNKS) {
		message.chunked(true);
	} else if (framing == BodyFraming::BF_LENGTH && head.length && head.status != STATUS_NO_CONTENT) {
		message.content_length(*head.length);
	}
	http::response_serializer<http::empty_body> serializer(message);
	return Serialize(serializer, true);
}

std::string WriteChunk(std::string_view data)
{
	const auto chunk = http::make_chunk(boost::asio::buffer(data.data(), data.size()));
	return boost::beast::buffers_to_string(chunk);
}

std::string_view FinalChunk()
{
	return "0\r\n\r\n";
}
