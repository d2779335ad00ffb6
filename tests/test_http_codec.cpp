/** @file test_http_codec.cpp Parsing and writing of HTTP messages. */
#include "net/http_codec.h"

#include <doctest/doctest.h>

namespace {

/** Collects the head and the body of a response. */
struct CollectedResponse : public ResponseHandler {
	void OnHead(ResponseHead it) override { this->head = std::move(it); }
	void OnBody(std::string_view data) override { this->body.append(data); }

	ResponseHead head; ///< Head of the response.
	std::string body;  ///< Body received so far.
};

/** Feeds a request to a reader in pieces. @param piece Bytes in a piece. @return Progress after the last piece fed. */
ParseProgress Feed(RequestReader &reader, const std::string &text, size_t piece)
{
	ParseProgress progress = ParseProgress::PR_MORE;
	for (size_t i = 0; i < text.size(); i += piece) {
		reader.Append(std::string_view(text).substr(i, piece));
		progress = reader.Parse();
		if (progress == ParseProgress::PR_BAD || progress == ParseProgress::PR_READY) {
			break;
		}
	}
	return progress;
}

} // namespace

TEST_CASE("a response is read completely, however it is split")
{
	const std::vector<std::string> answers = {
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	};
	for (const std::string &text : answers) {
		for (const size_t piece : {size_t{1}, size_t{7}, size_t{4096}}) {
			CAPTURE(text);
			CAPTURE(piece);
			ResponseReader reader(false);
			CollectedResponse collected;
			for (size_t i = 0; i < text.size(); i += piece) {
				CHECK_FALSE(reader.Done());
				REQUIRE(reader.Read(std::string_view(text).substr(i, piece), collected));
			}
			CHECK(reader.Done());
			CHECK(reader.KeepAlive());
			CHECK_FALSE(reader.HasExcess());
			CHECK(collected.head.status == 200);
			CHECK(collected.body == "hello");
		}
	}
}

TEST_CASE("a response that ends early is incomplete")
{
	ResponseReader truncated(false);
	CollectedResponse collected;
	REQUIRE(truncated.Read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", collected));
	CHECK_FALSE(truncated.Eof());
	ResponseReader chunks(false);
	REQUIRE(chunks.Read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n", collected));
	CHECK_FALSE(chunks.Eof());
	ResponseReader by_close(false);
	REQUIRE(by_close.Read("HTTP/1.1 200 OK\r\n\r\nhel", collected));
	CHECK(by_close.Eof());
	ResponseReader nothing(false);
	CHECK_FALSE(nothing.Eof());
}

TEST_CASE("a response to HEAD has no body, and excess bytes behind a response are detected")
{
	ResponseReader head(true);
	CollectedResponse collected;
	REQUIRE(head.Read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", collected));
	CHECK(head.Done());
	ResponseReader excess(false);
	REQUIRE(excess.Read("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc", collected));
	CHECK(excess.Done());
	CHECK(excess.HasExcess());
	ResponseReader garbage(false);
	CHECK_FALSE(garbage.Read("nonsense\r\n\r\n", collected));
}

TEST_CASE("requests: pipelined requests are read one by one with complete bodies")
{
	const std::string text = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
							 "GET /b HTTP/1.0\r\n\r\n";
	RequestReader reader(HttpLimits{});
	reader.Append(text);
	REQUIRE(reader.Parse() == ParseProgress::PR_READY);
	const CallerRequest first = reader.Take();
	CHECK(first.method == "POST");
	CHECK(first.body == "abc");
	CHECK(reader.KeepAlive());
	REQUIRE(reader.Parse() == ParseProgress::PR_READY);
	CHECK(reader.Take().target == "/b");
	CHECK_FALSE(reader.KeepAlive());
	CHECK_FALSE(reader.AcceptsChunked());
	CHECK_FALSE(reader.HasPartialRequest());
}

TEST_CASE("ambiguous and malformed requests are rejected with status 400")
{
	const std::vector<std::string> bad_requests = {
			"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
			"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
			"POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc",
			"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\nabc",
			"GET / HTTP/1.1\nHost: x\n\n",
			"GET / HTTP/1.1\r\nHost: x\r\nA: b\nContent-Length: 3\r\n\r\nabc",
			"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
			"GET / HTTP/1.1\r\n\r\n",
			"GET  / HTTP/1.1\r\nHost: x\r\n\r\n",
			"GET / HTTP/2.0\r\nHost: x\r\n\r\n",
	};
	for (const std::string &bad_request : bad_requests) {
		for (const size_t piece : {size_t{1}, size_t{4096}}) {
			CAPTURE(bad_request);
			CAPTURE(piece);
			RequestReader reader(HttpLimits{});
			CHECK(Feed(reader, bad_request, piece) == ParseProgress::PR_BAD);
			CHECK(HttpStatusOf(reader.Error()) == 400);
		}
	}
}

TEST_CASE("heads and bodies over the limit are rejected with separate codes")
{
	HttpLimits limits;
	limits.header_bytes = 1024;
	limits.body_bytes = 10;
	RequestReader head(limits);
	CHECK(Feed(head, "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a') + "\r\n\r\n", 100) ==
		  ParseProgress::PR_BAD);
	CHECK(head.Error() == ResultCode::RC_HEADER_TOO_LARGE);
	RequestReader length(limits);
	CHECK(Feed(length, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n", 4096) == ParseProgress::PR_BAD);
	CHECK(length.Error() == ResultCode::RC_BODY_TOO_LARGE);
	RequestReader chunks(limits);
	CHECK(Feed(chunks, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n",
			   4096) == ParseProgress::PR_BAD);
	CHECK(chunks.Error() == ResultCode::RC_BODY_TOO_LARGE);
}

TEST_CASE("Expect: 100-continue is reported once")
{
	RequestReader reader(HttpLimits{});
	reader.Append("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
	CHECK(reader.Parse() == ParseProgress::PR_CONTINUE);
	CHECK(reader.Parse() == ParseProgress::PR_MORE);
	reader.Append("abc");
	CHECK(reader.Parse() == ParseProgress::PR_READY);
}

TEST_CASE("written requests and responses can be read back")
{
	CallerRequest request;
	request.method = "POST";
	request.target = "/x?y=1";
	request.headers.Add("Glade-Tenant", "oyo");
	request.body = "abc";
	RequestReader reader(HttpLimits{});
	reader.Append(WriteRequest(request, "10.0.0.1:80"));
	REQUIRE(reader.Parse() == ParseProgress::PR_READY);
	const CallerRequest back = reader.Take();
	CHECK(back.body == "abc");
	CHECK(*back.headers.Find("host") == "10.0.0.1:80");
	CHECK(*back.headers.Find("glade-tenant") == "oyo");

	ResponseHead head;
	head.headers.Add("A", "b");
	ResponseReader answer(false);
	CollectedResponse collected;
	const std::string bytes = WriteResponseHead(head, BodyFraming::BF_CHUNKS, true) + WriteChunk("hel") +
							  WriteChunk("lo") + std::string(FinalChunk());
	REQUIRE(answer.Read(bytes, collected));
	CHECK(answer.Done());
	CHECK(collected.body == "hello");
}

TEST_CASE("hop-by-hop header fields are not passed on")
{
	HeaderList list;
	list.Add("Connection", "close, X-Secret");
	list.Add("X-Secret", "1");
	list.Add("Transfer-Encoding", "chunked");
	list.Add("Accept", "*/*");
	list.RemoveHopByHop();
	REQUIRE(list.fields.size() == 1);
	CHECK(list.fields[0].name == "Accept");
}
