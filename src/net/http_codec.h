/** @file http_codec.h HTTP/1.1 messages by Boost.Beast's parsers and serializers; bytes in, bytes out, no sockets. */
#ifndef HTTP_CODEC_H
#define HTTP_CODEC_H

#include "../request/request_type.h"

#include <memory>
#include <string>

/** Limits on what a caller may send. */
struct HttpLimits {
	size_t header_bytes = 16 * 1024; ///< Longest head of a request.
	size_t body_bytes = 1024 * 1024; ///< Longest body of a request.
};

/** How far a request is read. */
enum class ParseProgress : uint8_t {
	PR_MORE = 0,     ///< More bytes are needed.
	PR_CONTINUE = 1, ///< The head is there and the caller waits for "100 Continue".
	PR_READY = 2,    ///< The request is whole.
	PR_BAD = 3,      ///< It is not valid or over a limit: see Error().
};

/** Reads one request after the other from a stream of bytes. */
class RequestReader {
public:
	explicit RequestReader(HttpLimits limits);
	~RequestReader();

	/**
	 * Adds bytes that came from the caller.
	 * @param data The bytes.
	 */
	void Append(std::string_view data) { this->buf.append(data); }

	/** @return How far the next request is, after parsing what is there. */
	ParseProgress Parse();

	/** @return The request, after PR_READY; the reader goes on to the next. */
	CallerRequest Take();

	/** @return Why, after PR_BAD. */
	[[nodiscard]] ResultCode Error() const { return this->error; }

	/** @return Whether the caller wants the connection to stay, of the request taken last. */
	[[nodiscard]] bool KeepAlive() const { return this->keep_alive; }

	/** @return Whether the request taken last was HTTP/1.1: its caller understands chunks. */
	[[nodiscard]] bool AcceptsChunked() const { return this->chunks; }

	/** @return Whether bytes of a request are there, but not all of them. */
	[[nodiscard]] bool HasPartialRequest() const;

	/** @return Whether the head of the current request is whole. */
	[[nodiscard]] bool HeadDone() const;

	/** @return Bytes waiting. */
	[[nodiscard]] size_t Buffered() const { return this->buf.size(); }

private:
	struct Parser;

	HttpLimits limits;                    ///< Limits.
	std::string buf;                      ///< Bytes not parsed yet.
	std::unique_ptr<Parser> parser;       ///< Beast's parser of the current request.
	ResultCode error = ResultCode::RC_OK; ///< Why it is bad.
	bool keep_alive = true;               ///< Of the request taken last.
	bool chunks = true;                   ///< Of the request taken last.
	bool started = false;                 ///< Whether the parser has seen bytes.
	bool continued = false;               ///< Whether PR_CONTINUE was returned.

	void Reset();
	[[nodiscard]] bool HeadIsBad() const;
};

/** Gets the parts of an answer. */
class ResponseHandler {
public:
	virtual ~ResponseHandler() = default;
	virtual void OnHead(ResponseHead head) = 0;     ///< The head.
	virtual void OnBody(std::string_view data) = 0; ///< A part of the body.
};

/** Reads one answer from a stream of bytes. */
class ResponseReader {
public:
	/**
	 * @param head_request Whether the request was HEAD: no body follows.
	 */
	explicit ResponseReader(bool head_request);
	~ResponseReader();

	/**
	 * Reads bytes.
	 * @param data The bytes.
	 * @param parts Gets the parts.
	 * @return False when the bytes are no valid answer.
	 */
	bool Read(std::string_view data, ResponseHandler &parts);

	/**
	 * The endpoint closed.
	 * @return Whether the answer is whole by that: its end was not told otherwise.
	 */
	bool Eof();

	/** @return Whether the answer is whole. */
	[[nodiscard]] bool Done() const { return this->done; }

	/** @return Whether the head is whole. */
	[[nodiscard]] bool HeadDone() const { return this->head_done; }

	/** @return Whether the connection may carry another request. */
	[[nodiscard]] bool KeepAlive() const;

	/** @return Whether bytes came after the answer: the connection must not be used again. */
	[[nodiscard]] bool HasExcess() const { return !this->buf.empty(); }

private:
	struct Parser;

	bool head_request;              ///< No body follows.
	std::string buf;                ///< Bytes not parsed yet.
	std::unique_ptr<Parser> parser; ///< Beast's parser.
	bool head_done = false;         ///< Whether the head was passed on.
	bool done = false;              ///< Whether the answer is whole.

	void PassHead(ResponseHandler &parts);
	bool ReadHead(ResponseHandler &parts);
	bool ReadBody(ResponseHandler &parts);
};

/**
 * Writes a whole request.
 * @param request The request, with the fields that are to be sent; framing is added.
 * @param host Value of the Host field, if the request has none.
 * @return Bytes.
 */
std::string WriteRequest(const CallerRequest &request, const std::string &host);

/** How the body of an answer is framed. */
enum class BodyFraming : uint8_t {
	BF_LENGTH = 0, ///< By a known length, or there is none.
	BF_CHUNKS = 1, ///< In chunks.
	BF_CLOSE = 2,  ///< Ends with the connection.
};

/**
 * Writes the head of an answer.
 * @param head The head.
 * @param framing How its body is framed.
 * @param keep_alive Whether the connection stays.
 * @return Bytes.
 */
std::string WriteResponseHead(const ResponseHead &head, BodyFraming framing, bool keep_alive);

/**
 * Frames a part of a body as a chunk.
 * @param data The part; must not be empty.
 * @return Bytes.
 */
std::string WriteChunk(std::string_view data);

/** @return Bytes that end a body in chunks. */
std::string_view FinalChunk();

#endif /* HTTP_CODEC_H */
