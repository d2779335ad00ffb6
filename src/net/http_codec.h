/** @file http_codec.h Parsing and serializing of HTTP/1.1 messages with Boost.Beast, independent of sockets. */
#ifndef HTTP_CODEC_H
#define HTTP_CODEC_H

#include "../request/request_type.h"

#include <memory>
#include <optional>
#include <string>

/** Size limits of requests. */
struct HttpLimits {
	size_t header_bytes = 16 * 1024; ///< Maximum size of a request head.
	size_t body_bytes = 1024 * 1024; ///< Maximum size of a request body.
};

/** Parsing progress of a request. */
enum class ParseProgress : uint8_t {
	PR_MORE = 0,     ///< More bytes are needed.
	PR_CONTINUE = 1, ///< The head is complete and the caller waits for "100 Continue".
	PR_READY = 2,    ///< The request is complete.
	PR_BAD = 3,      ///< The request is invalid or exceeds a limit: see Error().
};

/** How the body of a request is read. */
enum class BodyHandling : uint8_t {
	BH_STORE = 0,  ///< It is stored.
	BH_DROP = 1,   ///< It is read and dropped.
	BH_REFUSE = 2, ///< The request is refused: other requests take too much memory.
};

/** Decides how bodies are read. */
class BodyAdmission {
public:
	virtual ~BodyAdmission() = default;
	/** Decides on the body of a request whose head is complete. @param head The request without its body. @param length
	 * Size of the body, if the head states it. @return How it is read. */
	virtual BodyHandling OnHead(const CallerRequest &head, std::optional<uint64_t> length) = 0;
	/** Called before a stored body takes more memory. @param bytes Bytes that it needs in all. @return Whether it may;
	 * otherwise the request is refused. */
	virtual bool OnGrow(size_t bytes) = 0;
};

/** Parses successive requests from a byte stream. */
class RequestReader {
public:
	/** @param limits Size limits. @param admission Decides how bodies are read, and outlives this object; null to store
	 * all of them. */
	explicit RequestReader(HttpLimits limits, BodyAdmission *admission = nullptr);
	~RequestReader();

	/**
	 * Adds received bytes.
	 * @param data The bytes.
	 */
	void Append(std::string_view data) { this->buf.append(data); }

	/** Parses the buffered bytes. @return Progress of the current request. */
	ParseProgress Parse();

	/** @return The request, after PR_READY; the reader advances to the next one. */
	CallerRequest Take();

	/** Drops the current request and the bytes after it. */
	void Clear();

	/** @return Reason of PR_BAD. */
	[[nodiscard]] ResultCode Error() const { return this->error; }

	/** @return Whether the last request taken asked for a persistent connection. */
	[[nodiscard]] bool KeepAlive() const { return this->keep_alive; }

	/** @return Whether the last request taken was HTTP/1.1, so that its caller supports chunked responses. */
	[[nodiscard]] bool AcceptsChunked() const { return this->accepts_chunked; }

	/** @return Whether a request has been received in part. */
	[[nodiscard]] bool HasPartialRequest() const;

	/** @return Whether the head of the current request is complete. */
	[[nodiscard]] bool HeadDone() const;

	/** @return Number of bytes not parsed yet. */
	[[nodiscard]] size_t Buffered() const { return this->buf.size(); }

	/** @return Bytes of the current request's body received so far. */
	[[nodiscard]] size_t BodyReceived() const { return this->body_received; }

private:
	struct Parser;

	HttpLimits limits;                    ///< Size limits of requests.
	BodyAdmission *admission;             ///< Decides how bodies are read; may be null.
	std::string buf;                      ///< Bytes not parsed yet.
	std::unique_ptr<Parser> parser;       ///< Beast's parser of the current request.
	CallerRequest request;                ///< The current request, as far as it was received.
	bool head_taken = false;              ///< Whether the head is complete and was admitted.
	size_t body_received = 0;             ///< For BodyReceived().
	ResultCode error = ResultCode::RC_OK; ///< Reason of PR_BAD.
	bool keep_alive = true;               ///< For KeepAlive().
	bool accepts_chunked = true;          ///< For AcceptsChunked().
	bool started = false;                 ///< Whether the parser has consumed bytes of the current request.
	bool continue_sent = false;           ///< Whether PR_CONTINUE was returned.

	void Reset();
	[[nodiscard]] bool HeadIsInvalid() const;
	ParseProgress Reject(ResultCode code);
	/** Parses the head. @return PR_READY once it is complete and its body may be read. */
	ParseProgress ParseHead();
	ParseProgress TakeHead();
	ParseProgress ParseBody();
	/** Adds a part to the body. @return Whether there is memory for it. */
	bool StoreBody(std::string_view part);
	/** @return Size of the body, if the head states it. */
	[[nodiscard]] std::optional<uint64_t> StatedLength() const;
};

/** Receives the parts of a response. */
class ResponseHandler {
public:
	virtual ~ResponseHandler() = default;
	virtual void OnHead(ResponseHead head) = 0;     ///< Called once with the head.
	virtual void OnBody(std::string_view data) = 0; ///< Called with each part of the body.
};

/** Parses one response from a byte stream. */
class ResponseReader {
public:
	/**
	 * @param head_request Whether the request was HEAD, so that the response has no body.
	 */
	explicit ResponseReader(bool head_request);
	~ResponseReader();

	/**
	 * Parses received bytes.
	 * @param data The bytes.
	 * @param parts Receives the parts.
	 * @return False if the bytes are not a valid response.
	 */
	bool Read(std::string_view data, ResponseHandler &parts);

	/**
	 * Handles the end of the stream.
	 * @return Whether the response is complete: already before, or because its body lasts until the connection closes.
	 */
	bool Eof();

	/** @return Whether the response is complete. */
	[[nodiscard]] bool Done() const { return this->done; }

	/** @return Whether the head has been received. */
	[[nodiscard]] bool HeadDone() const { return this->head_done; }

	/** @return Whether the connection may be reused for another request. */
	[[nodiscard]] bool KeepAlive() const;

	/** @return Whether bytes follow the response: the connection must not be reused. */
	[[nodiscard]] bool HasExcess() const { return !this->buf.empty(); }

private:
	struct Parser;

	bool head_request;              ///< Whether the request was HEAD.
	std::string buf;                ///< Bytes not parsed yet.
	std::unique_ptr<Parser> parser; ///< Beast's parser of the response.
	bool head_done = false;         ///< Whether the head was delivered.
	bool done = false;              ///< Whether the response is complete.

	void DeliverHead(ResponseHandler &parts);
	bool ReadHead(ResponseHandler &parts);
	bool ReadBody(ResponseHandler &parts);
};

/**
 * Serializes a request.
 * @param request The request with all header fields to send; Content-Length is added.
 * @param host Value of the Host field, if the request has none.
 * @return The request as sent on the wire.
 */
std::string WriteRequest(const CallerRequest &request, const std::string &host);

/** Framing of a response body. */
enum class BodyFraming : uint8_t {
	BF_LENGTH = 0, ///< Content-Length, or no body.
	BF_CHUNKS = 1, ///< Chunked transfer coding.
	BF_CLOSE = 2,  ///< The body ends when the connection closes.
};

/**
 * Serializes the head of a response.
 * @param head The head.
 * @param framing Framing of the body.
 * @param keep_alive Whether the connection stays open after the response.
 * @return The head as sent on the wire.
 */
std::string WriteResponseHead(const ResponseHead &head, BodyFraming framing, bool keep_alive);

/**
 * Encodes a part of a body as a chunk.
 * @param data The part; must not be empty.
 * @return The chunk as sent on the wire.
 */
std::string WriteChunk(std::string_view data);

/** @return The chunk that ends a body in chunked coding. */
std::string_view FinalChunk();

#endif /* HTTP_CODEC_H */
