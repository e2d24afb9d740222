#include "masticrill/gateway/event_splitter.h"

#include <doctest/doctest.h>

#include <string>

namespace masticrill::gateway {
namespace {

TEST_CASE("complete events are returned for any split of the input, and the rest is held back") {
  const std::string whole = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n";
  const std::string bytes = whole + "id: 3\ndata: c";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    EventSplitter splitter;
    std::string passed;
    for (std::size_t begin = 0; begin < bytes.size(); begin += piece) {
      passed += splitter.Feed(std::string_view(bytes).substr(begin, piece));
    }
    CHECK(passed == whole);
    CHECK(splitter.Pending() == "id: 3\ndata: c");
    CHECK(splitter.LastEventId() == "2");
    CHECK(splitter.EventCount() == 3);
  }
}

TEST_CASE("a stream resumes at another upstream after the last complete event") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(splitter.LastEventId() == "1");
  splitter.Resume();
  CHECK(splitter.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(splitter.LastEventId() == "2");
}

// Guards against streams that go on with an earlier event, or with something else than events.
TEST_CASE("what follows a resumption begins behind the last event") {
  const std::string last = "id: 9\ndata: x\n\n";
  for (const char* next : {"id: 9\ndata: x\n\n", "id: 3\ndata: x\n\n", "data: x\n\n",
                           ": note\n\ndata: x\n\n", "id: 09\ndata: x\n\n"}) {
    CAPTURE(std::string(next));
    EventSplitter splitter;
    splitter.Feed(last);
    splitter.Resume();
    CHECK(splitter.Feed(next).find("data") == std::string::npos);
    CHECK(splitter.Misplaced());
    CHECK(splitter.Feed("id: 10\ndata: x\n\n").empty());
    CHECK(splitter.LastEventId() == "9");
    splitter.Resume();
    CHECK_FALSE(splitter.Misplaced());
    CHECK(splitter.Feed("id: 10\ndata: x\n\ndata: y\n\n") == "id: 10\ndata: x\n\ndata: y\n\n");
  }
}

}  // namespace
}  // namespace masticrill::gateway
