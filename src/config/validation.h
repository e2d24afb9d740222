#ifndef MASTICRILL_CONFIG_VALIDATION_H_
#define MASTICRILL_CONFIG_VALIDATION_H_

#include <string>

#include "masticrill/config/configuration.h"

namespace masticrill::config {

/// Returns the first reference of the configuration that leads nowhere, or to something that may
/// not be used so: path, fault and remedy. Empty when all are right.
std::string FindReferenceFault(const Configuration& configuration);

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_VALIDATION_H_
