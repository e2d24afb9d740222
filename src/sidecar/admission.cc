#include "masticrill/sidecar/admission.h"

#include "sidecar/admission_inl.h"

namespace masticrill::sidecar {

template class BasicAdmission<ConfigurationPermission, GradientPolicy>;
template class BasicAdmission<ConfigurationPermission, AimdPolicy>;

}  // namespace masticrill::sidecar
