#include "masticrill/sidecar/cold_start_ramp.h"

#include <algorithm>
#include <numeric>

namespace masticrill::sidecar {
namespace {

/// Weight of an outcome as evidence of a cold upstream. A version that answers with errors at once
/// is faulty rather than cold, so a plain error weighs less.
constexpr std::uint32_t kSlowEvidence = 2;
constexpr std::uint32_t kNoAnswerEvidence = 2;
constexpr std::uint32_t kErrorEvidence = 1;
/// Least sum of the evidence of the last kHistorySize outcomes at which the upstream counts as
/// cold.
constexpr std::uint32_t kColdEvidence = 5;

std::uint32_t EvidenceOf(EngineOutcome outcome) {
  switch (outcome) {
    case EngineOutcome::kTimeout:
    case EngineOutcome::kReset:
      return kNoAnswerEvidence;
    case EngineOutcome::kError:
      return kErrorEvidence;
    default:
      return 0;
  }
}

}  // namespace

void ColdStartRamp::Restart(TimePoint now) {
  this->cold = true;
  this->cold_since = now;
  this->epoch += 1;
  this->bound = std::max(1U, this->options.initial_bound);
  this->good_answers = 0;
  this->good_in_round = 0;
  this->history.fill(0);
}

void ColdStartRamp::OnEngineStart(WallTimeMs start, TimePoint now) {
  const bool known = this->engine_start.has_value();
  const bool changed = known && *this->engine_start != start;
  this->engine_start = start;
  if (changed) {
    this->Restart(now);
  }
}

void ColdStartRamp::OnFirstToken(std::uint64_t sample_epoch, std::optional<double> ratio,
                                 std::uint32_t limit, TimePoint now) {
  if (sample_epoch != this->epoch) {
    return;
  }
  if (ratio && *ratio > this->options.cold_ratio) {
    this->OnSlowFirstToken(sample_epoch, now);
    return;
  }
  this->RecordEvidence(0, now);
  if (this->cold && (!ratio || *ratio <= this->options.warm_ratio)) {
    this->Grow(ratio.has_value(), limit, now);
  }
}

void ColdStartRamp::Grow(bool warm_latency_known, std::uint32_t limit, TimePoint now) {
  this->good_answers += 1;
  this->good_in_round += 1;
  const bool proven =
      warm_latency_known || (this->good_answers >= this->options.no_baseline_answers &&
                             now - this->cold_since >= this->options.no_baseline_period);
  // Once the upstream is proven warm, every `bound` good answers double the bound.
  if (proven) {
    this->bound += 1;
  } else if (this->good_in_round >= this->bound) {
    this->good_in_round = 0;
    this->bound = std::max(this->bound, std::min(this->bound + 1, this->options.no_baseline_bound));
  }
  this->cold = !proven || this->bound < limit;
}

void ColdStartRamp::OnSlowFirstToken(std::uint64_t sample_epoch, TimePoint now) {
  if (sample_epoch != this->epoch) {
    return;
  }
  if (!this->cold) {
    this->RecordEvidence(kSlowEvidence, now);
    return;
  }
  this->good_in_round = 0;
  this->good_answers = 0;
  this->bound = std::max(this->options.initial_bound, this->bound / 2);
}

void ColdStartRamp::OnFailure(std::uint64_t sample_epoch, EngineOutcome outcome, TimePoint now) {
  if (sample_epoch != this->epoch) {
    return;
  }
  // A warm upstream reports overload explicitly; only the learned limit reacts to that.
  if (outcome == EngineOutcome::kOverloaded && this->cold) {
    this->OnSlowFirstToken(sample_epoch, now);
    return;
  }
  const std::uint32_t evidence = EvidenceOf(outcome);
  if (evidence == 0) {
    return;
  }
  if (!this->cold) {
    this->RecordEvidence(evidence, now);
    return;
  }
  this->good_in_round = 0;
  if (evidence >= kNoAnswerEvidence) {
    this->Restart(now);
  }
}

void ColdStartRamp::RecordEvidence(std::uint32_t evidence, TimePoint now) {
  this->history.at(this->history_next) = evidence;
  this->history_next = (this->history_next + 1) % kHistorySize;
  const std::uint32_t sum = std::accumulate(this->history.begin(), this->history.end(), 0U);
  if (sum >= kColdEvidence) {
    this->Restart(now);
  }
}

}  // namespace masticrill::sidecar
