#ifndef MASTICRILL_CONFIG_COST_H_
#define MASTICRILL_CONFIG_COST_H_

#include <cstdint>

#include "masticrill/config/configuration.h"

namespace masticrill::config {

/// The cost of generated tokens in micro-units of the billing currency, rounded up; 0 for a version
/// that the configuration does not have.
std::uint64_t CostOf(const Configuration& configuration, const ModelVersion& version,
                     std::uint64_t generated_tokens);

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_COST_H_
