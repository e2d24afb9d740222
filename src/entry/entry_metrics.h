#ifndef MASTICRILL_ENTRY_ENTRY_METRICS_H_
#define MASTICRILL_ENTRY_ENTRY_METRICS_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "masticrill/common/metrics.h"
#include "masticrill/common/refusal.h"
#include "masticrill/config/configuration.h"
#include "masticrill/routing/cascade_policy.h"
#include "masticrill/routing/retry.h"
#include "masticrill/routing/upstream_choice.h"

namespace masticrill::entry {

/// The counters of one entry process.
struct EntryMetrics {
  EnumCounter<RefusalKind, kAllRefusalKinds.size()> refusals{kAllRefusalKinds};
  EnumCounter<routing::RetryReason, routing::kAllRetryReasons.size()> retries{
      routing::kAllRetryReasons};
  EnumCounter<routing::ChoiceReason, routing::kAllChoiceReasons.size()> choices{
      routing::kAllChoiceReasons};
  EnumCounter<routing::CascadeReason, routing::kAllCascadeReasons.size()> cascade_steps{
      routing::kAllCascadeReasons};
  std::atomic<std::uint64_t> received = 0;
  std::atomic<std::uint64_t> answered = 0;
  std::atomic<std::uint64_t> open = 0;
  std::atomic<std::uint64_t> generated_tokens = 0;
  LatencySummary first_token;
  LatencySummary whole_answer;

  std::string Write(config::Number number, bool lease_valid, std::size_t held_charges) const;
};

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_ENTRY_METRICS_H_
