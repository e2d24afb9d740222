#ifndef MASTICRILL_SOAK_CALLER_H_
#define MASTICRILL_SOAK_CALLER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "masticrill/common/random.h"
#include "masticrill/net/socket_stream.h"
#include "soak/fleet.h"
#include "soak/records.h"
#include "soak/stop_log.h"

namespace masticrill::soak {

/// An answer as a caller sees it. Status 0 stands for none.
struct Reply {
  int status = 0;
  std::string signature;
  std::string body;
  bool is_stream = false;
  /// Whether the answer ended as its header fields say.
  bool complete = false;
  /// When the last byte of the request was written; none unless all of it was.
  std::optional<TimePoint> sent_whole_at = std::nullopt;
  TimePoint ended_at = {};
};

/// A caller's connection, used for one request after another until the other side ends it.
class CallerConnection {
 public:
  explicit CallerConnection(std::string address) : address(std::move(address)) {}
  Reply Ask(const Attempt& attempt, const std::string& key);

 private:
  /// Writes a request, its body in pieces over the time that the attempt says.
  bool Send(const Attempt& attempt, const std::string& key, TimePoint deadline);
  Reply Read(TimePoint deadline);
  bool ReadChunks(TimePoint deadline, std::string& body);
  /// Takes bytes up to and with the mark, or `count` bytes.
  bool Take(TimePoint deadline, const std::string& mark, std::string& taken);
  bool Take(TimePoint deadline, std::size_t count, std::string& taken);

  std::string address;
  std::unique_ptr<net::SocketStream> socket;
};

/// Keeps asking all entries and checks each answer. What ran is compared at the end. With a log of
/// stops, the callers mostly ask entries that are stopping, for work that takes long, and some send
/// their bodies slowly; each request that was read must then be answered.
class Callers {
 public:
  Callers(std::uint64_t seed, std::size_t count, const Fleet& fleet,
          const Acknowledged& acknowledged, const Calm& calm, Timeline& timeline,
          const StopLog* stops = nullptr);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop();
  /// Compares the answers with what the upstreams ran. Call it after Stop.
  void CheckRuns(const std::vector<Run>& runs);
  std::size_t Served() const { return this->served; }

 private:
  struct Outcome {
    Attempt attempt;
    int status = 0;
    bool complete = false;
    /// Whether nothing but planned work touched the fleet.
    bool was_calm = false;
    /// Whether planned work did not touch the host either.
    bool was_in_touch = false;
    std::optional<TimePoint> sent_whole_at = std::nullopt;
    TimePoint ended_at = {};
  };

  void Run(Random random, std::size_t caller);
  Attempt Choose(Random& random, const std::string& id) const;
  HostAddresses ChooseHost(Random& random) const;
  void AddWork(Random& random, Attempt& attempt) const;
  void Check(const Outcome& outcome, const Reply& reply);
  void CheckStream(const Attempt& attempt, const Reply& reply);
  void CheckRun(const Outcome& outcome, const soak::Run& run);
  /// Checks that a request that was read around planned work was answered.
  void CheckAnswered(const Outcome& outcome, const soak::Run* last_run);

  const Fleet& fleet;
  const Acknowledged& acknowledged;
  const Calm& calm;
  Timeline& timeline;
  const StopLog* stops;
  std::atomic<bool> stopping = false;
  std::atomic<std::size_t> served = 0;
  std::atomic<int> denied = 0;
  std::mutex mutex;
  std::map<std::string, Outcome> outcomes;
  std::vector<std::thread> threads;
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_CALLER_H_
