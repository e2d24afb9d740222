#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "hostile/crowd.h"
#include "process/answering_workers.h"
#include "process/platform_hosts.h"

namespace masticrill::hostile {
namespace {

using process::Await;
using process::Json;

/// What the settings give each process.
constexpr std::size_t kEntryMemoryMb = 40;
constexpr std::size_t kControlMemoryMb = 64;
constexpr std::size_t kDescriptors = 500;
/// Descriptors that the platform keeps for other files.
constexpr std::size_t kOtherDescriptors = 200;
constexpr std::size_t kMaxHeaderBytes = std::size_t{256} << 10U;
constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20U;
constexpr int kRounds = 20;

/// One host with little room, before sound workers.
class SmallHost : private process::AnsweringWorkers, public process::PlatformHosts {
 public:
  SmallHost()
      : AnsweringWorkers(2, [] { return SoundHead(); }),
        PlatformHosts(AnsweringWorkers::ListAddress(), 1,
                      "Limits.MemoryMb=" + std::to_string(kEntryMemoryMb) +
                          "\nLimits.MaxFds=" + std::to_string(kDescriptors) + "\n") {
    this->Declare(1);
    this->AwaitReady(1);
  }

  std::string Declaration(int version) const {
    Json declaration = Json::parse(this->Configuration(version, {"key-1"}));
    declaration["Limits"] = {{"MaxHeaderBytes", kMaxHeaderBytes},
                             {"MaxBodyBytes", kMaxBodyBytes},
                             {"HeaderTimeoutMs", 3000},
                             {"IdleTimeoutMs", 15000}};
    return declaration.dump();
  }
  void Declare(int version) const {
    Await("the configuration", [&] {
      return this->Operate({"PUT", "/v1/config", {}, this->Declaration(version)}).status == 200;
    });
  }

  std::string Callers() const { return this->At(1, this->ports.callers); }
  std::string Ready() const { return this->At(1, this->ports.ready); }
  std::string Operators() const { return this->At(1, this->ports.operators); }
};

/// A head without its end. `size` bounds its bytes.
std::string Head(const std::string& path, const std::string& fields, std::size_t size,
                 const std::string& filler) {
  std::string head = "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: h1\r\n" +
                     "Authorization: Bearer key-1\r\n" + fields;
  while (head.size() + filler.size() + 4 < size) {
    head += filler;
  }
  return head;
}

std::string LargeField(std::size_t size) { return "F: " + std::string(size, 'x') + "\r\n"; }

std::string Chunks(std::size_t bytes, std::size_t chunk) {
  std::string text;
  char size[16] = {};
  std::snprintf(size, sizeof(size), "%zx\r\n", chunk);
  while (text.size() + chunk < bytes) {
    text += size + std::string(chunk, 'x') + "\r\n";
  }
  return text;
}

/// Plays a crowd against one port of the host, and checks both programs while it is there: they
/// live, memory and descriptors stay within the settings, and an ordinary request is answered.
void Play(SmallHost& host, const std::string& address, std::size_t size,
          const Behaviour& behaviour) {
  CAPTURE(behaviour.name);
  const pid_t entry = host.entries.front()->Pid();
  const pid_t control = host.control->Pid();
  std::size_t most_entry = 0;
  std::size_t most_control = 0;
  {
    const Crowd crowd(address, size, behaviour);
    Await(
        "the crowd in its place",
        [&] {
          most_entry = std::max(most_entry, fakes::OpenDescriptors(entry));
          most_control = std::max(most_control, fakes::OpenDescriptors(control));
          return crowd.Rounds() >= kRounds;
        },
        [&] { return host.entries.front()->Describe() + host.control->Describe(); });
    Await("an ordinary answer", [&] { return host.Ask(1, "/once/1", "key-1").status == 200; });
    host.AwaitReady(1);
    Await("an operator's answer", [&] {
      return host.Operate({"GET", "/v1/config"}).status == 200;
    });
  }
  CHECK(fakes::PeakMemoryKb(entry) <= kEntryMemoryMb * 1024);
  CHECK(fakes::PeakMemoryKb(control) <= kControlMemoryMb * 1024);
  CHECK(most_entry <= kDescriptors - kOtherDescriptors);
  CHECK(most_control <= kDescriptors - kOtherDescriptors);
  Await("an ordinary answer", [&] { return host.Ask(1, "/once/1", "key-1").status == 200; });
}

const std::string kLength = "Content-Length: 100\r\n";

// Guards against heads whose fields take many times their bytes when they are parsed.
TEST_CASE("callers with very many short fields do not fill the memory of an entry") {
  for (const std::string path : {"/once/1", "/nowhere/"}) {
    SmallHost host;
    Play(host, host.Callers(), 200, {path, Head(path, kLength, 16'384, "a:\r\n") + "\r\n", ""});
  }
}

// Guards against heads that are read to their limit and held without being counted.
TEST_CASE("callers with unfinished heads do not fill the memory of an entry") {
  for (const std::string path : {"/once/1", "/nowhere/"}) {
    SmallHost host;
    Play(host, host.Callers(), 200, {path, Head(path, "", kMaxHeaderBytes, LargeField(4096)), ""});
  }
}

// Guards against bodies that are each too small to be counted.
TEST_CASE("callers with small bodies that stop before their end do not fill an entry's memory") {
  const std::string declared = Head("/once/1", "Content-Length: 16384\r\n", 0, "") + "\r\n";
  const std::string chunked = Head("/once/1", "Transfer-Encoding: chunked\r\n", 0, "") + "\r\n";
  const Behaviour behaviours[] = {
      {"in one piece", declared + std::string(16'380, 'x'), ""},
      {"in chunks", chunked + Chunks(16'000, 100), ""},
  };
  for (const Behaviour& behaviour : behaviours) {
    SmallHost host;
    Play(host, host.Callers(), 900, behaviour);
  }
}

// Guards against large bodies that together exceed the memory, and those beyond the limit.
TEST_CASE("callers with large bodies that stop before their end do not fill an entry's memory") {
  const auto head = [](const std::string& path, std::size_t length) {
    return Head(path, "Content-Length: " + std::to_string(length) + "\r\n", 0, "") + "\r\n";
  };
  const std::string nearly_all(kMaxBodyBytes - 100, 'x');
  const Behaviour behaviours[] = {
      {"legal", head("/once/1", kMaxBodyBytes) + nearly_all, ""},
      {"legal, without a route", head("/nowhere/", kMaxBodyBytes) + nearly_all, ""},
      {"beyond the limit", head("/once/1", std::size_t{1} << 30U) + nearly_all, nearly_all},
      {"in chunks beyond the limit",
       Head("/once/1", "Transfer-Encoding: chunked\r\n", 0, "") + "\r\n", Chunks(100'000, 10'000)},
      {"without end in the extension of a chunk",
       Head("/once/1", "Transfer-Encoding: chunked\r\n", 0, "") + "\r\n1", std::string(100, ';')},
  };
  for (const Behaviour& behaviour : behaviours) {
    SmallHost host;
    Play(host, host.Callers(), 20, behaviour);
  }
}

// Guards against more connections than the process has descriptors, and against a crowd that holds
// all of them so that ordinary callers are not served.
TEST_CASE("callers that send slowly, or nothing, leave room for others") {
  const Behaviour behaviours[] = {
      {"nothing", "", ""},
      {"a dripping head", "POST /once/1 HTTP/1.1\r\n", "a"},
      {"a dripping body", Head("/once/1", "Content-Length: 100000\r\n", 0, "") + "\r\n", "x"},
      {"a dripping body without a route",
       Head("/nowhere/", "Content-Length: 100000\r\n", 0, "") + "\r\n", "x"},
      {"chunks of one byte", Head("/once/1", "Transfer-Encoding: chunked\r\n", 0, "") + "\r\n",
       "1\r\nx\r\n"},
      {"Expect and no body", Head("/once/1", "Expect: 100-continue\r\n" + kLength, 0, "") + "\r\n",
       ""},
  };
  for (const Behaviour& behaviour : behaviours) {
    SmallHost host;
    Play(host, host.Callers(), 400, behaviour);
  }
}

// Guards against answers that pile up for callers which do not read them.
TEST_CASE("callers that send many requests ahead and read nothing are bounded") {
  std::string ahead;
  for (int request = 0; request < 3000; ++request) {
    ahead += "GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: h1\r\n\r\n";
  }
  SmallHost host;
  Play(host, host.Callers(), 50, {"requests ahead", ahead, ahead, false});
}

// Guards against a crowd at the port that says ready, which takes the entry out of rotation.
TEST_CASE("an entry says that it is ready beside a crowd at the same port") {
  const Behaviour behaviours[] = {
      {"half a request line", "GET /v1/ready HT", ""},
      {"a dripping request line", "GET /v1/ready", "x"},
      {"a dripping body", "POST /v1/ready HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", "x"},
      {"a large body",
       "POST /v1/ready HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n" + std::string(3'900'000, 'x'),
       ""},
  };
  for (const Behaviour& behaviour : behaviours) {
    SmallHost host;
    Play(host, host.Ready(), 20, behaviour);
  }
}

// Guards against operators' requests that fill the memory of a control host, and against more
// connections than it has descriptors.
TEST_CASE("a crowd at the operators' port does not end a control host") {
  const std::string put = "PUT /v1/config HTTP/1.1\r\nHost: a.example\r\n";
  struct Case {
    std::size_t size;
    Behaviour behaviour;
  };
  const Case cases[] = {
      {40,
       {"large bodies", put + "Content-Length: 4000000\r\n\r\n" + std::string(3'900'000, 'x'), ""}},
      {40,
       {"large bodies in chunks",
        put + "Transfer-Encoding: chunked\r\n\r\n" + Chunks(3'900'000, 10'000), ""}},
      {200, {"large heads", Head("/v1/config", "", 600'000, LargeField(7000)), ""}},
      {400, {"a dripping head", put, "a"}},
      {400, {"a dripping body", put + "Content-Length: 100000\r\n\r\n", "x"}},
  };
  for (const Case& test_case : cases) {
    SmallHost host;
    Play(host, host.Operators(), test_case.size, test_case.behaviour);
  }
}

}  // namespace
}  // namespace masticrill::hostile
