#include "masticrill/net/http_message.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "masticrill/common/result.h"

namespace masticrill::net {
namespace {

std::optional<RequestHead> ReadRequest(const std::string& block) {
  return HandleErrors(
      [&]() -> Result<std::optional<RequestHead>> {
        BOOST_LEAF_AUTO(head, ParseRequestHead(block));
        return std::optional(std::move(head));
      },
      [](const Error&) { return std::optional<RequestHead>(); });
}

std::optional<AnswerHead> ReadAnswer(const std::string& block) {
  return HandleErrors(
      [&]() -> Result<std::optional<AnswerHead>> {
        BOOST_LEAF_AUTO(head, ParseAnswerHead(block));
        return std::optional(std::move(head));
      },
      [](const Error&) { return std::optional<AnswerHead>(); });
}

std::optional<BodyFraming> FramingOf(const std::vector<HeaderField>& headers) {
  return HandleErrors(
      [&]() -> Result<std::optional<BodyFraming>> {
        BOOST_LEAF_AUTO(decoder, RequestBody({"POST", "/", true, headers}));
        return std::optional(decoder.Framing());
      },
      [](const Error&) { return std::optional<BodyFraming>(); });
}

TEST_CASE("a request's head is read as it stands") {
  const auto head =
      ReadRequest("POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(12000, 'a') +
                  "\r\nX-Word: =?utf-8?B?aGVsbG8=?=\r\nEmpty:\r\n\r\n");
  REQUIRE(head);
  CHECK(head->method == "POST");
  CHECK(head->target == "/a/b?c=d");
  CHECK(head->Path() == "/a/b");
  CHECK(head->http_1_1);
  CHECK(head->Header("x-long")->size() == 12000);
  CHECK(head->Header("X-Word") == "=?utf-8?B?aGVsbG8=?=");
  CHECK(head->Header("empty") == "");
  CHECK_FALSE(head->Header("absent"));
}

TEST_CASE("a malformed request head is refused") {
  const std::vector<std::string> malformed = {
      "GET /\r\n\r\n",
      "GET HTTP/1.1\r\n\r\n",
      "GET  / HTTP/1.1\r\n\r\n",
      "GET http://x/ HTTP/1.1\r\n\r\n",
      "GET / HTTP/2.0\r\n\r\n",
      "G(T / HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nno colon\r\n\r\n",
      "GET / HTTP/1.1\r\n: no name\r\n\r\n",
      "GET / HTTP/1.1\r\nSpace : x\r\n\r\n",
      "GET / HTTP/1.1\r\nA: 1\r\n folded\r\n\r\n",
      std::string("GET / HTTP/1.1\r\nA: x\x01y\r\n\r\n"),
  };
  for (const std::string& block : malformed) {
    CAPTURE(block);
    CHECK_FALSE(ReadRequest(block));
  }
}

TEST_CASE("an answer's head is read, and what is none is refused") {
  const auto head = ReadAnswer("HTTP/1.1 503 Service Unavailable\r\nA: b\r\n\r\n");
  REQUIRE(head);
  CHECK(head->status == 503);
  CHECK(ReadAnswer("HTTP/1.1 200\r\n\r\n")->status == 200);
  for (const std::string block :
       {"HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1\r\n\r\n", "garbage\r\n\r\n", "\r\n\r\n",
        "HTTP/1.1 999 No\r\n\r\n", "HTTP/1.1 099 No\r\n\r\n"}) {
    CAPTURE(block);
    CHECK_FALSE(ReadAnswer(block));
  }
}

// Guards against an answer of a server in trouble that is passed on under a status that it does not
// have.
TEST_CASE("a status that is not three digits from 100 to 599 is refused") {
  for (const std::string status : {"000", "099", "600", "999", "20", "2", "2000", "200.", "+20",
                                   "-20", "-200", " 200", "0x1", "2 0", "", " ", "200\t"}) {
    CAPTURE(status);
    CHECK_FALSE(ReadAnswer("HTTP/1.1 " + status + " Reason\r\n\r\n"));
    CHECK_FALSE(ReadAnswer("HTTP/1.1 " + status + "\r\n\r\n"));
  }
  for (const std::string line : {"100", "101 ", "200 ", "599 Any  reason", "200 2000"}) {
    CAPTURE(line);
    CHECK(ReadAnswer("HTTP/1.1 " + line + "\r\n\r\n"));
  }
}

// Guards against a head that ends for its reader before the empty line with which it ends on the
// connection: the fields behind that place, the length among them, were dropped.
TEST_CASE("a head with a bare line feed or anything behind its empty line is refused") {
  const std::string request = "POST / HTTP/1.1\r\nA: 1\r\nContent-Length: 4\r\n\r\n";
  const std::string answer = "HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 4\r\n\r\n";
  CHECK(ReadRequest(request));
  CHECK(ReadAnswer(answer));
  for (std::size_t place = 0; place < request.size(); ++place) {
    if (request[place] == '\r') {
      CAPTURE(place);
      CHECK_FALSE(ReadRequest(std::string(request).erase(place, 1)));
    }
  }
  for (std::size_t place = 0; place < answer.size(); ++place) {
    if (answer[place] == '\r') {
      CAPTURE(place);
      CHECK_FALSE(ReadAnswer(std::string(answer).erase(place, 1)));
    }
  }
  CHECK_FALSE(ReadAnswer("HTTP/1.1 200 OK\r\nA: 1\n\nContent-Length: 4\r\n\r\n"));
  CHECK_FALSE(ReadRequest("POST / HTTP/1.1\r\nA: 1\r\n\r\nContent-Length: 4\r\n\r\n"));
}

TEST_CASE("a status line that ends after its version is malformed") {
  for (const std::string block : {"HTTP/1.1\r\n\r\n", "HTTP/1.1 \r\n\r\n", "HTTP/1.1 20"}) {
    CAPTURE(block);
    const ErrorKind kind = HandleErrors(
        [&]() -> Result<ErrorKind> {
          BOOST_LEAF_CHECK(ParseAnswerHead(block));
          return ErrorKind::kInternal;
        },
        [](const Error& error) { return error.kind; });
    CHECK(kind == ErrorKind::kMalformedMessage);
  }
}

TEST_CASE("a body whose length two readers could read in two ways is refused") {
  CHECK(FramingOf({}) == BodyFraming::kNone);
  CHECK(FramingOf({{"Content-Length", "5"}}) == BodyFraming::kLength);
  CHECK(FramingOf({{"transfer-encoding", "Chunked"}}) == BodyFraming::kChunked);
  const std::vector<std::vector<HeaderField>> ambiguous = {
      {{"Content-Length", "5"}, {"Content-Length", "6"}},
      {{"Content-Length", "5"}, {"Content-Length", "5"}},
      {{"Content-Length", "5, 6"}},
      {{"Content-Length", "-1"}},
      {{"Content-Length", "5x"}},
      {{"Content-Length", ""}},
      {{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}},
      {{"Transfer-Encoding", "gzip, chunked"}},
      {{"Transfer-Encoding", "chunked, chunked"}},
  };
  for (const auto& headers : ambiguous) {
    CAPTURE(headers.front().name);
    CAPTURE(headers.front().value);
    CHECK_FALSE(FramingOf(headers));
  }
}

TEST_CASE("fields that concern one connection are not passed on") {
  const std::vector<HeaderField> kept = WithoutConnectionFields({{"Connection", "close, X-Hop"},
                                                                 {"X-Hop", "1"},
                                                                 {"Keep-Alive", "timeout=5"},
                                                                 {"Transfer-Encoding", "chunked"},
                                                                 {"Content-Length", "3"},
                                                                 {"Upgrade", "h2c"},
                                                                 {"X-Kept", "2"}});
  CHECK(kept == std::vector<HeaderField>{{"X-Kept", "2"}});
  CHECK(WantsClose({{"Connection", "keep-alive, Close"}}, true));
  CHECK_FALSE(WantsClose({{"Connection", "keep-alive"}}, true));
  CHECK(WantsClose({}, false));
}

}  // namespace
}  // namespace masticrill::net
