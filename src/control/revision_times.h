#ifndef MASTICRILL_CONTROL_REVISION_TIMES_H_
#define MASTICRILL_CONTROL_REVISION_TIMES_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

#include "masticrill/common/clock.h"

namespace masticrill::control {

/// Remembers when this host applied the latest revisions of the declaration. Thread-safe.
class RevisionTimes {
 public:
  void Observe(std::uint64_t revision, TimePoint now);
  /// When the revision, or the first one after it, was applied here; nothing when neither was.
  std::optional<TimePoint> AppliedAt(std::uint64_t revision) const;

 private:
  mutable std::mutex mutex;
  std::map<std::uint64_t, TimePoint> times;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_REVISION_TIMES_H_
