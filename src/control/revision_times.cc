#include "control/revision_times.h"

namespace masticrill::control {
namespace {

constexpr std::size_t kMaxRevisions = 64;

}  // namespace

void RevisionTimes::Observe(std::uint64_t revision, TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  if (!this->times.empty() && this->times.rbegin()->first >= revision) {
    return;
  }
  this->times.emplace(revision, now);
  if (this->times.size() > kMaxRevisions) {
    this->times.erase(this->times.begin());
  }
}

std::optional<TimePoint> RevisionTimes::AppliedAt(std::uint64_t revision) const {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->times.lower_bound(revision);
  return found == this->times.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace masticrill::control
