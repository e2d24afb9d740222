#ifndef MASTICRILL_SOAK_TIMELINE_H_
#define MASTICRILL_SOAK_TIMELINE_H_

#include <cstdio>
#include <mutex>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"

namespace masticrill::soak {

/// The bounds of the users' rules.
inline constexpr milliseconds kContact{3000};
inline constexpr milliseconds kConfigApply{2000};
inline constexpr milliseconds kRevoke{5000};
inline constexpr milliseconds kAcknowledge{4000};
inline constexpr seconds kRecovery{12};
inline constexpr seconds kCatchUp{4};
inline constexpr seconds kStopGrace{8};
inline constexpr milliseconds kLossSlack{200};
inline constexpr milliseconds kEvacuate{5000};
/// The timeout of routes, and the deadline that callers send.
inline constexpr milliseconds kCallTimeout{5000};
/// The same around planned work: longer than the grace of a stop.
inline constexpr milliseconds kLongCallTimeout{12000};

/// What happened in a run, in order, and which checks failed. Safe for several threads.
class Timeline {
 public:
  TimePoint Begin() const { return this->begin; }
  TimePoint Now() const { return this->clock.Now(); }

  void Add(const std::string& text) {
    const std::scoped_lock lock(this->mutex);
    this->lines.push_back(this->Stamp() + text);
  }
  /// Records a failed check. Many failures of one rule are one finding: only the first are kept.
  void Fail(const std::string& rule, const std::string& text) {
    const std::scoped_lock lock(this->mutex);
    if (this->failures.size() < kMaxFailures) {
      this->failures.push_back(this->Stamp() + rule + ": " + text);
      this->lines.push_back(this->Stamp() + "FAILED " + rule + ": " + text);
    }
  }
  std::vector<std::string> Failures() const {
    const std::scoped_lock lock(this->mutex);
    return this->failures;
  }
  std::string Text() const {
    const std::scoped_lock lock(this->mutex);
    std::string text;
    for (const std::string& line : this->lines) {
      text += line + "\n";
    }
    return text;
  }

 private:
  static constexpr std::size_t kMaxFailures = 20;

  std::string Stamp() const {
    const auto passed = duration_cast<milliseconds>(this->clock.Now() - this->begin).count();
    char text[32];
    std::snprintf(text, sizeof(text), "%+8.3f ", static_cast<double>(passed) / 1000);
    return text;
  }

  SystemClock clock = {};
  TimePoint begin = SystemClock().Now();
  mutable std::mutex mutex;
  std::vector<std::string> lines;
  std::vector<std::string> failures;
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_TIMELINE_H_
