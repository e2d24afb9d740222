#include "masticrill/gateway/upstream_speed.h"

#include <algorithm>

namespace masticrill::gateway {
namespace {

/// An upstream neither attracts all work by a small figure nor loses all by a large one.
constexpr double kMinSlowdown = 0.25;
constexpr double kMaxSlowdown = 4;
/// How far one report moves the lasting factor. Steps of equal size in both directions approach the
/// median, which passing factors do not shift.
constexpr double kStep = 0.05;
/// Others on a machine slow it for some hundred milliseconds at a time.
constexpr Duration kLatestLifetime = milliseconds(300);

}  // namespace

void UpstreamSpeed::OnReport(double slowdown, TimePoint now) {
  this->latest = std::clamp(slowdown, kMinSlowdown, kMaxSlowdown);
  this->reported_at = now;
  if (!this->known) {
    this->usual = this->latest;
    this->known = true;
    return;
  }
  this->usual = this->latest > this->usual ? std::min(this->usual * (1 + kStep), this->latest)
                                           : std::max(this->usual / (1 + kStep), this->latest);
}

double UpstreamSpeed::Slowdown(TimePoint now) const {
  return this->known && now - this->reported_at <= kLatestLifetime ? this->latest : this->usual;
}

}  // namespace masticrill::gateway
