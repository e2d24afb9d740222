#ifndef MASTICRILL_CONTROL_JOIN_REPORT_H_
#define MASTICRILL_CONTROL_JOIN_REPORT_H_

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "masticrill/common/clock.h"
#include "masticrill/common/error.h"
#include "masticrill/common/metrics.h"
#include "masticrill/common/name.h"

namespace masticrill::control {

/// How a join request of this replica ended.
enum class JoinResult {
  kAccepted,
  kNotLeader,    // The asked replica does not lead.
  kNoQuorum,     // The asked replica knows no leader with a majority.
  kRetired,      // The identity of this replica was removed for good.
  kConflict,     // The group cannot change its members now.
  kUnreachable,  // The asked replica could not be connected.
  kTimeout,
  kOther,
};

inline constexpr std::array kAllJoinResults = {
    JoinResult::kAccepted, JoinResult::kNotLeader,   JoinResult::kNoQuorum, JoinResult::kRetired,
    JoinResult::kConflict, JoinResult::kUnreachable, JoinResult::kTimeout,  JoinResult::kOther,
};

std::string_view ToString(JoinResult result);
JoinResult JoinResultOf(ErrorKind kind);

using JoinCounter = EnumCounter<JoinResult, kAllJoinResults.size()>;

/// Counts join requests, and decides which rounds of requests are worth a log line: one for each
/// change of the set of causes, and one from time to time while the requests are refused. One
/// thread uses it; the counters may be read by any.
class JoinReport {
 public:
  void Accept();
  void Refuse(const NodeId& asked, const Error& error);
  /// Ends a round of requests to all known replicas that none accepted. Returns the causes, bounded
  /// in length, when they are to be logged.
  std::optional<std::string> EndRound(TimePoint now);

  const JoinCounter& Counts() const { return this->counts; }

 private:
  struct Refusal {
    JoinResult result = JoinResult::kOther;
    std::string message;
  };

  std::string Describe() const;

  JoinCounter counts{kAllJoinResults};
  std::map<NodeId, Refusal> round;
  std::optional<std::set<JoinResult>> told;
  TimePoint told_at;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_JOIN_REPORT_H_
