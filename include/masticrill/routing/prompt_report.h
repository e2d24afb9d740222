#ifndef MASTICRILL_ROUTING_PROMPT_REPORT_H_
#define MASTICRILL_ROUTING_PROMPT_REPORT_H_

#include <cstdint>
#include <vector>

#include "masticrill/common/name.h"

namespace masticrill::routing {

/// An attempt whose connection the upstream ended. If the answer had not begun or not lasted,
/// either the request ended its upstream, or it happened to start there when the upstream ended.
struct LostStart {
  /// Identifies the upstream and its start.
  std::uint64_t upstream = 0;
  /// Hash of the whole request; 0 when the answer had lasted.
  std::uint64_t request = 0;
  /// The parts of the prompt that other requests may share, and the whole request; empty when the
  /// answer had lasted.
  std::vector<PromptPartId> parts;
  /// Shows that the upstream was running until then.
  bool answer_begun = false;
  /// The entry closed the connection itself and does not know whether the upstream ended.
  bool is_discarded = false;
  std::int64_t age_ms = 0;

  friend bool operator==(const LostStart&, const LostStart&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->upstream, this->request, this->parts, this->answer_begun, this->is_discarded,
            this->age_ms);
  }
};

/// When the most recent answer began that an upstream survived and whose prompt had the part.
struct PartSurvival {
  PromptPartId part;
  /// Negative when there was none.
  std::int64_t age_ms = -1;

  friend bool operator==(const PartSurvival&, const PartSurvival&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->part, this->age_ms);
  }
};

/// What one entry knows about prompt parts under which upstreams may end.
struct PromptReport {
  std::vector<LostStart> lost;
  /// One for each part that control hosts asked about.
  std::vector<PartSurvival> survivals;

  bool Empty() const { return this->lost.empty() && this->survivals.empty(); }

  friend bool operator==(const PromptReport&, const PromptReport&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->lost, this->survivals);
  }
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_PROMPT_REPORT_H_
