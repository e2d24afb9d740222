#ifndef MASTICRILL_FAKES_PLATFORM_DECLARATION_H_
#define MASTICRILL_FAKES_PLATFORM_DECLARATION_H_

#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace masticrill::fakes {

/// Names as random as those of operators, so that they compress no better.
inline std::string RandomName(std::uint64_t number) {
  constexpr std::uint64_t kMix = 0x9e3779b97f4a7c15;
  char text[20];
  std::snprintf(text, sizeof text, "%012llx",
                static_cast<unsigned long long>((number * kMix) >> 16U));
  return text;
}

/// A declaration of the platform with that many routes, of which the changed one has another time
/// limit.
inline std::string Declaration(std::uint64_t revision, int routes, int changed = -1) {
  nlohmann::json root = {{"Version", revision},
                         {"Routes", nlohmann::json::array()},
                         {"Services", {{{"Name", "s"}, {"MaxConnections", 390}}}},
                         {"Tenants", {{{"Name", "t"}, {"ApiKeys", {"k"}}}}}};
  for (int index = 0; index < routes; ++index) {
    root["Routes"].push_back(
        {{"Name", "r-" + RandomName(static_cast<std::uint64_t>(index))},
         {"Host", "idle.example"},
         {"PathPrefix", "/" + RandomName(static_cast<std::uint64_t>(index) + 1'000'000) + "/"},
         {"Kind", "streaming"},
         {"TimeoutMs", index == changed ? 26'000 : 25'000},
         {"TargetLatencyMs", 3000},
         {"Priority", 1},
         {"Sizes", {"daka510000", "rada7437b5", "ravo486f6a"}},
         {"Backends", {{{"Service", "s"}, {"Weight", 90}}}},
         {"MaxAttempts", 3},
         {"Public", false},
         {"Sticky", true},
         {"Resumable", true},
         {"TargetGapMs", 1200}});
  }
  return root.dump();
}

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_PLATFORM_DECLARATION_H_
