#include "masticrill/sidecar/cold_start_ramp.h"

#include <algorithm>
#include <numeric>

namespace masticrill::sidecar {
namespace {

/// How strongly an end speaks for a cold upstream. A version that answers with errors at once is
/// bad rather than cold, so a plain error weighs less.
constexpr std::uint32_t kSlowEvidence = 2;
constexpr std::uint32_t kLostEvidence = 2;
constexpr std::uint32_t kErrorEvidence = 1;
/// Evidence among the last answers from which the upstream counts as cold.
constexpr std::uint32_t kColdEvidence = 5;

std::uint32_t EvidenceOf(EngineOutcome outcome) {
  switch (outcome) {
    case EngineOutcome::kTimeout:
    case EngineOutcome::kReset:
      return kLostEvidence;
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
    this->OnSlow(sample_epoch, now);
    return;
  }
  this->Note(0, now);
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
  // With proof that the upstream is warm the bound doubles with each round of answers.
  if (proven) {
    this->bound += 1;
  } else if (this->good_in_round >= this->bound) {
    this->good_in_round = 0;
    this->bound = std::max(this->bound, std::min(this->bound + 1, this->options.no_baseline_bound));
  }
  this->cold = !proven || this->bound < limit;
}

void ColdStartRamp::OnSlow(std::uint64_t sample_epoch, TimePoint now) {
  if (sample_epoch != this->epoch) {
    return;
  }
  if (!this->cold) {
    this->Note(kSlowEvidence, now);
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
  // A warm upstream that is overloaded says so; only the limit answers to that.
  if (outcome == EngineOutcome::kOverloaded && this->cold) {
    this->OnSlow(sample_epoch, now);
    return;
  }
  const std::uint32_t evidence = EvidenceOf(outcome);
  if (evidence == 0) {
    return;
  }
  if (!this->cold) {
    this->Note(evidence, now);
    return;
  }
  this->good_in_round = 0;
  if (evidence >= kLostEvidence) {
    this->Restart(now);
  }
}

void ColdStartRamp::Note(std::uint32_t evidence, TimePoint now) {
  this->history.at(this->history_next) = evidence;
  this->history_next = (this->history_next + 1) % kHistory;
  const std::uint32_t sum = std::accumulate(this->history.begin(), this->history.end(), 0U);
  if (sum >= kColdEvidence) {
    this->Restart(now);
  }
}

}  // namespace masticrill::sidecar
