#ifndef MASTICRILL_ROUTING_ROLLOUT_SOUNDNESS_H_
#define MASTICRILL_ROUTING_ROLLOUT_SOUNDNESS_H_

#include "masticrill/routing/rollout_evaluation.h"

namespace masticrill::routing {

/// What counts as a harmful candidate, one that must not get all sessions.
struct SoundnessSettings {
  /// By how much its rate of errors or of late first tokens is higher.
  double harmful_difference = 0.25;
  /// The maximum probability that a harmful candidate is taken for one that is shown sound.
  double error_chance = 0.1;

  friend bool operator==(const SoundnessSettings&, const SoundnessSettings&) = default;
};

enum class Soundness {
  kShown,   // Enough requests show that the candidate is not harmful.
  kLikely,  // Too few requests, but their rates are nearer to the baseline's than to harmful ones.
  kDoubtful,  // The rates are nearer to harmful ones.
};

/// Judges what the evidence says for a candidate. A pure function.
Soundness JudgeSoundness(const VersionEvidence& candidate, const VersionEvidence& baseline,
                         const RolloutSettings& settings, const SoundnessSettings& soundness = {});

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_ROLLOUT_SOUNDNESS_H_
