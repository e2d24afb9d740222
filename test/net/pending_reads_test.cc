#include "masticrill/net/pending_reads.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <memory>

#include "masticrill/net/http_message.h"

namespace masticrill::net {
namespace {

constexpr Duration kMinAge = milliseconds(500);

TimePoint At(int in_ms) { return TimePoint() + milliseconds(in_ms); }

/// A connection over loopback; `served` is the end that a server reads from.
struct Pair {
  Pair() {
    IoEnd end = IoEnd::kDone;
    this->caller = SocketStream::Connect(this->listener.address().toString(),
                                         SystemClock().Now() + seconds(10), nullptr, end);
    this->served = std::make_unique<SocketStream>(this->listener.acceptConnection());
  }

  Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1:0")};
  std::unique_ptr<SocketStream> caller;
  std::unique_ptr<SocketStream> served;
};

// Pattern: slow callers hold every thread of a server while others wait for one.
TEST_CASE("the connection that has waited for its request for longest is given up first") {
  PendingReads reads(kMinAge);
  Pair first;
  Pair second;
  PendingReads::Registration older(reads, *first.served, At(0));
  PendingReads::Registration newer(reads, *second.served, At(100));
  CHECK_FALSE(reads.GiveUpOldest(At(499)));
  CHECK(reads.GiveUpOldest(At(500)));
  CHECK(older.Finish());
  CHECK(first.served->Fill(SystemClock().Now() + seconds(10)) == IoEnd::kClosed);
  CHECK_FALSE(reads.GiveUpOldest(At(599)));
  CHECK(reads.GiveUpOldest(At(600)));
  CHECK(newer.Finish());
  CHECK(reads.GivenUpCount() == 2);
}

TEST_CASE("a connection whose request has come is not given up") {
  PendingReads reads(kMinAge);
  Pair pair;
  PendingReads::Registration registration(reads, *pair.served, At(0));
  CHECK_FALSE(registration.Finish());
  CHECK_FALSE(reads.GiveUpOldest(At(10'000)));
  CHECK(reads.GivenUpCount() == 0);
}

TEST_CASE("a caller that was given up still gets an answer") {
  PendingReads reads(kMinAge);
  Pair pair;
  const PendingReads::Registration registration(reads, *pair.served, At(0));
  REQUIRE(reads.GiveUpOldest(At(500)));
  CHECK(pair.served->Write("answer", SystemClock().Now() + seconds(10)) == IoEnd::kDone);
  CHECK(pair.caller->Fill(SystemClock().Now() + seconds(10)) == IoEnd::kDone);
  CHECK(pair.caller->Buffered() == "answer");
}

// Pattern: heads of legal size whose fields are as short as they can be.
TEST_CASE("the memory of a parsed head is known before it is parsed") {
  std::string head = "GET / HTTP/1.1\r\n";
  for (int field = 0; field < 4000; ++field) {
    head += "a:\r\n";
  }
  head += "\r\n";
  CHECK(ParsedHeadBytes(head) >= head.size() + 4000 * sizeof(HeaderField));
}

}  // namespace
}  // namespace masticrill::net
