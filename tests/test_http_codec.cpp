/** @file test_http_codec.cpp HTTP messages: what is taken, what is refused, what goes out. */
#include "net/http_codec.h"

#include <doctest/doctest.h>

namespace {

/** Collects the parts of an answer. */
struct Parts : public ResponseHandler {
	void OnHead(ResponseHead it) override { this->head = std::move(it); }
	void OnBody(std::string_view data) override { this->body.append(data); }

	ResponseHead head; ///< The head.
	std::string body;  ///< The body so far.
};

/** Feeds a request in pieces of a size and tells how it ended. */
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

TEST_CASE("an answer is read whole, whatever the pieces")
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
			Parts parts;
			for (size_t i = 0; i < text.size(); i += piece) {
				CHECK_FALSE(reader.Done());
				REQUIRE(reader.Read(std::string_view(text).substr(i, piece), parts));
			}
			CHECK(reader.Done());
			CHECK(reader.KeepAlive());
			CHECK_FALSE(reader.HasExcess());
			CHECK(parts.head.status == 200);
			CHECK(parts.body == "hello");
		}
	}
}

TEST_CASE("an answer that ends early is not whole")
{
	ResponseReader cut(false);
	Parts parts;
	REQUIRE(cut.Read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", parts));
	CHECK_FALSE(cut.Eof());
	ResponseReader chunks(false);
	REQUIRE(chunks.Read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n", parts));
	CHECK_FALSE(chunks.Eof());
	ResponseReader by_close(false);
	REQUIRE(by_close.Read("HTTP/1.1 200 OK\r\n\r\nhel", parts));
	CHECK(by_close.Eof());
	ResponseReader nothing(false);
	CHECK_FALSE(nothing.Eof());
}

TEST_CASE("an answer to HEAD has no body, and bytes behind an answer spoil the connection")
{
	ResponseReader head(true);
	Parts parts;
	REQUIRE(head.Read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", parts));
	CHECK(head.Done());
	ResponseReader excess(false);
	REQUIRE(excess.Read("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc", parts));
	CHECK(excess.Done());
	CHECK(excess.HasExcess());
	ResponseReader garbage(false);
	CHECK_FALSE(garbage.Read("nonsense\r\n\r\n", parts));
}

TEST_CASE("requests: pipelined ones are read one by one, bodies whole")
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

TEST_CASE("requests that could be read in two ways are refused")
{
	const std::vector<std::string> forms = {
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
	for (const std::string &form : forms) {
		for (const size_t piece : {size_t{1}, size_t{4096}}) {
			CAPTURE(form);
			CAPTURE(piece);
			RequestReader reader(HttpLimits{});
			CHECK(Feed(reader, form, piece) == ParseProgress::PR_BAD);
			CHECK(HttpStatusOf(reader.Error()) == 400);
		}
	}
}

TEST_CASE("heads and bodies over the limit are refused with their own codes")
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

TEST_CASE("a caller that expects 100-continue is told once to go on")
{
	RequestReader reader(HttpLimits{});
	reader.Append("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
	CHECK(reader.Parse() == ParseProgress::PR_CONTINUE);
	CHECK(reader.Parse() == ParseProgress::PR_MORE);
	reader.Append("abc");
	CHECK(reader.Parse() == ParseProgress::PR_READY);
}

TEST_CASE("what is written can be read back")
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
	Parts parts;
	const std::string bytes = WriteResponseHead(head, BodyFraming::BF_CHUNKS, true) + WriteChunk("hel") +
							  WriteChunk("lo") + std::string(FinalChunk());
	REQUIRE(answer.Read(bytes, parts));
	CHECK(answer.Done());
	CHECK(parts.body == "hello");
}

TEST_CASE("fields of one connection are not passed on")
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
