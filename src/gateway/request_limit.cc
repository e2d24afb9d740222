#include "masticrill/gateway/request_limit.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "masticrill/common/hash.h"

namespace masticrill::gateway {
namespace {

constexpr double kMsPerS = 1000;
/// An upstream that takes less still gets a request now and then, whose answer tells when the limit
/// is over.
constexpr double kLeastPerSecond = 0.2;

double TurnMs(double per_second) { return kMsPerS / std::max(per_second, kLeastPerSecond); }

/// From 0 to 1, both excluded.
double HashFraction(std::uint64_t hash) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return (static_cast<double>(hash >> 11U) + 0.5) * 2048.0 / kRange;
}

double Score(const EntryShare& entry, std::uint64_t seed) {
  return -static_cast<double>(std::max<std::uint32_t>(entry.weight, 1)) /
         std::log(HashFraction(Hash64(entry.address, seed)));
}

}  // namespace

std::uint32_t DemandMeter::Read(std::uint64_t received, TimePoint now) {
  constexpr double kMemoryS = 5;
  constexpr double kTenths = 10;
  const bool is_first = this->last_read_at == TimePoint();
  const double span = std::chrono::duration<double>(now - this->last_read_at).count();
  if (!is_first && span > 0) {
    const double rate = static_cast<double>(received - this->last_received) / span;
    const double weight = 1 - std::exp(-span / kMemoryS);
    this->per_second += (rate - this->per_second) * weight;
  }
  this->last_received = received;
  this->last_read_at = now;
  return static_cast<std::uint32_t>(std::lround(this->per_second * kTenths));
}

double TurnRate(std::optional<double> current, double stated) {
  constexpr double kStep = 1.1;
  if (current && *current <= stated && stated <= *current * kStep * kStep) {
    return *current;
  }
  return stated <= 0 ? 0 : std::pow(kStep, std::floor(std::log(stated) / std::log(kStep)));
}

RequestTurns::RequestTurns(std::string own, std::vector<EntryShare> all)
    : own_address(std::move(own)), entries(std::move(all)) {
  const bool is_listed =
      std::any_of(this->entries.begin(), this->entries.end(),
                  [&](const EntryShare& entry) { return entry.address == this->own_address; });
  if (!is_listed) {
    const std::uint64_t sum = std::accumulate(
        this->entries.begin(), this->entries.end(), std::uint64_t{0},
        [](std::uint64_t total, const EntryShare& entry) { return total + entry.weight; });
    const std::uint64_t mean = this->entries.empty() ? 1 : sum / this->entries.size();
    this->entries.push_back({this->own_address, static_cast<std::uint32_t>(mean)});
  }
}

bool RequestTurns::IsOwn(std::uint64_t upstream, std::int64_t turn) const {
  if (this->entries.size() < 2) {
    return true;
  }
  constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15U;
  const std::uint64_t seed = upstream ^ (static_cast<std::uint64_t>(turn) * kSpread);
  const auto owner = std::max_element(this->entries.begin(), this->entries.end(),
                                      [&](const EntryShare& left, const EntryShare& right) {
                                        return Score(left, seed) < Score(right, seed);
                                      });
  return owner->address == this->own_address;
}

std::optional<std::int64_t> RequestTurns::CurrentTurn(std::uint64_t upstream, double per_second,
                                                      WallTimeMs now) const {
  const auto turn =
      static_cast<std::int64_t>(std::floor(static_cast<double>(now) / TurnMs(per_second)));
  return this->IsOwn(upstream, turn) ? std::optional(turn) : std::nullopt;
}

Duration RequestTurns::UntilNextTurn(std::uint64_t upstream, double per_second, WallTimeMs now,
                                     Duration horizon) const {
  const double turn_ms = TurnMs(per_second);
  const double now_ms = static_cast<double>(now);
  const auto current = static_cast<std::int64_t>(std::floor(now_ms / turn_ms));
  constexpr std::int64_t kMaxTurns = 256;
  for (std::int64_t turn = current + 1; turn <= current + kMaxTurns; ++turn) {
    const auto until = milliseconds(
        static_cast<std::int64_t>(std::ceil(static_cast<double>(turn) * turn_ms - now_ms)));
    if (until >= horizon) {
      return horizon;
    }
    if (this->IsOwn(upstream, turn)) {
      return until;
    }
  }
  return horizon;
}

}  // namespace masticrill::gateway
