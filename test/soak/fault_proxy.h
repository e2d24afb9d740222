#ifndef MASTICRILL_SOAK_FAULT_PROXY_H_
#define MASTICRILL_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "masticrill/common/clock.h"

namespace masticrill::soak {

/// How much later bytes arrive under kDelay.
inline constexpr milliseconds kLinkDelay{150};

enum class LinkFault {
  kNone,
  kDelay,       // Bytes arrive later, in both directions.
  kReset,       // Every connection is reset, new ones too.
  kCutForward,  // Nothing reaches the target; answers still come back.
  kCutBack,     // Requests reach the target; nothing comes back.
  kSilence,     // Nothing is passed on; no connection ends.
  kCutAnswers,  // Answers end in order after a part of their head or body.
  kSilenceOld,  // As kSilence for the connections that are open, for good; new ones work.
};

std::string ToString(LinkFault fault);

/// A TCP proxy on a loopback port that can disturb what passes.
class FaultProxy {
 public:
  explicit FaultProxy(std::string target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const std::string& Address() const { return this->address; }
  void Set(LinkFault next) {
    if (next == LinkFault::kSilenceOld) {
      this->silent_before = this->clock.Now();
    }
    this->fault = next;
  }

 private:
  /// One direction of a connection.
  struct Flow {
    int from = -1;
    int to = -1;
    bool is_forward = true;
    std::deque<std::pair<TimePoint, std::string>> held = {};
    bool source_ended = false;
    bool end_passed = false;
  };
  struct Connection {
    Flow forward;
    Flow back;
    TimePoint born;
  };

  void Run();
  void Accept();
  bool IsBlocked(const Connection& connection, const Flow& flow) const;
  /// The part of an answer that passes under kCutAnswers: each kind of cut in turn.
  std::size_t CutPlace(std::string_view answer) const;
  /// Returns false when the connection broke.
  bool Read(Flow& flow) const;
  bool Write(Flow& flow) const;
  bool Pass(Connection& connection, Flow& flow, short ready, short writable) const;
  static void Close(const Connection& connection, bool reset);

  std::string target;
  std::string address;
  int listener = -1;
  SystemClock clock;
  std::atomic<LinkFault> fault = LinkFault::kNone;
  mutable std::atomic<unsigned> cuts = 0;
  std::atomic<TimePoint> silent_before = TimePoint();
  std::atomic<bool> stopping = false;
  std::list<Connection> connections;
  std::thread thread;
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_FAULT_PROXY_H_
