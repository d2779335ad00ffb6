/** @file http_codec.cpp HTTP/1.1 messages by Boost.Beast's parsers and serializers. */
#include "http_codec.h"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace http = boost::beast::http;

namespace {

/* Beast 1.74 refuses every Content-Length when the limit is set to none. */
constexpr uint64_t ANY_LENGTH = uint64_t{1} << 62; ///< Limit on the body of an answer: none.
constexpr size_t BODY_PART = 16 * 1024;            ///< Bytes of an answer's body passed on at once.
constexpr int STATUS_NO_CONTENT = 204;             ///< No body follows.
constexpr int STATUS_NOT_MODIFIED = 304;           ///< No body follows.
constexpr int STATUS_FIRST_FINAL = 200;            ///< Statuses below are interim.
constexpr size_t HEAD_BYTES = 256;                 ///< Room for a usual request's head.
constexpr unsigned HTTP_1_1 = 11;                  ///< Version as Beast counts it.

/** Whether a line of a head ends in LF without CR. */
bool HasBareLf(const std::string &text)
{
	for (size_t at = text.find('\n'); at != std::string::npos; at = text.find('\n', at + 1)) {
		if (at == 0 || text[at - 1] != '\r') {
			return true;
		}
	}
	return false;
}

/** Copies fields from a Beast message. */
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
 * @param serializer The serializer.
 * @param head_only Whether to stop behind the head.
 * @return Bytes.
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

/** Beast's request parser with the body as a string. */
struct RequestReader::Parser {
	http::request_parser<http::string_body> beast; ///< The parser.
};

RequestReader::RequestReader(HttpLimits limits) : limits(limits)
{
	this->Reset();
}

RequestReader::~RequestReader() = default;

void RequestReader::Reset()
{
	this->parser = std::make_unique<Parser>();
	this->parser->beast.header_limit(static_cast<uint32_t>(this->limits.header_bytes));
	this->parser->beast.body_limit(this->limits.body_bytes);
	this->parser->beast.eager(true);
	this->started = false;
	this->continued = false;
}

bool RequestReader::HasPartialRequest() const
{
	return this->started || !this->buf.empty();
}

bool RequestReader::HeadDone() const
{
	return this->parser->beast.is_header_done();
}

bool RequestReader::HeadIsBad() const
{
	const auto &message = this->parser->beast.get();
	/* Beast ends a request of an unknown transfer coding with an empty body; its rest would pass for a request. */
	const auto codings = message.count(http::field::transfer_encoding);
	if (codings > 1 ||
		(codings == 1 && !EqualsIgnoreCase(std::string(message[http::field::transfer_encoding]), "chunked"))) {
		return true;
	}
	const std::string length(message[http::field::content_length]);
	if (length.find_first_not_of("0123456789") != std::string::npos) {
		return true; /* Beast takes a list of equal lengths; others may read it differently. */
	}
	const bool old = message.version() < HTTP_1_1;
	const auto hosts = message.count(http::field::host);
	return (old && codings > 0) || hosts > 1 || (!old && hosts == 0) || message.target().empty();
}

ParseProgress RequestReader::Parse()
{
	auto &beast = this->parser->beast;
	while (!this->buf.empty() && !beast.is_done()) {
		boost::system::error_code ec;
		const size_t n = beast.put(boost::asio::buffer(this->buf), ec);
		this->buf.erase(0, n);
		this->started = this->started || n > 0;
		if (ec == http::error::need_more) {
			/* Beast waits for a CR that a head with bare LFs never brings. */
			if (!beast.is_header_done() && HasBareLf(this->buf)) {
				this->error = ResultCode::RC_BAD_REQUEST;
				return ParseProgress::PR_BAD;
			}
			if (this->buf.size() > this->limits.header_bytes && !beast.is_header_done()) {
				this->error = ResultCode::RC_HEADER_TOO_LARGE;
				return ParseProgress::PR_BAD;
			}
			break;
		}
		if (ec) {
			this->error = ec == http::error::header_limit ? ResultCode::RC_HEADER_TOO_LARGE
						  : ec == http::error::body_limit ? ResultCode::RC_BODY_TOO_LARGE
														  : ResultCode::RC_BAD_REQUEST;
			return ParseProgress::PR_BAD;
		}
	}
	if (beast.is_header_done() && this->HeadIsBad()) {
		this->error = ResultCode::RC_BAD_REQUEST;
		return ParseProgress::PR_BAD;
	}
	if (beast.is_done()) {
		return ParseProgress::PR_READY;
	}
	if (beast.is_header_done() && !this->continued &&
		EqualsIgnoreCase(std::string(beast.get()[http::field::expect]), "100-continue")) {
		this->continued = true;
		return ParseProgress::PR_CONTINUE;
	}
	return ParseProgress::PR_MORE;
}

CallerRequest RequestReader::Take()
{
	auto message = this->parser->beast.release();
	this->keep_alive = message.keep_alive();
	this->chunks = message.version() >= HTTP_1_1;
	CallerRequest request;
	request.method = std::string(message.method_string());
	request.target = std::string(message.target());
	request.headers = FieldsOf(message);
	request.body = std::move(message.body());
	this->Reset();
	return request;
}

/** Beast's response parser with the body passed through. */
struct ResponseReader::Parser {
	http::response_parser<http::buffer_body> beast; ///< The parser.
};

namespace {

/** Takes a part of a body until it is passed on: one for all readers of a thread. */
thread_local std::array<char, BODY_PART> _body_part;

} // namespace

ResponseReader::ResponseReader(bool head_request) : head_request(head_request), parser(std::make_unique<Parser>())
{
	this->parser->beast.body_limit(ANY_LENGTH);
	this->parser->beast.skip(head_request);
}

ResponseReader::~ResponseReader() = default;

bool ResponseReader::KeepAlive() const
{
	return this->done && this->parser->beast.keep_alive();
}

void ResponseReader::PassHead(ResponseHandler &parts)
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
		/* An interim answer: the real one follows. */
		this->parser = std::make_unique<Parser>();
		this->parser->beast.body_limit(ANY_LENGTH);
		this->parser->beast.skip(this->head_request);
		return true;
	}
	this->PassHead(parts);
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
	/* Written by hand: a serializer took an owner longer than its socket did. */
	const bool has_body =
			!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
	std::string out;
	out.reserve(HEAD_BYTES + request.body.size());
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
