#ifndef MASTICRILL_ENTRY_RATING_CLIENT_H_
#define MASTICRILL_ENTRY_RATING_CLIENT_H_

#include <string>

#include "entry/caller_request.h"
#include "entry/entry_services.h"
#include "masticrill/routing/cascade_policy.h"

namespace masticrill::entry {

/// Has an answer rated by the configuration's rating service, through the sidecar of one of its
/// upstreams: POST /rate with {"request": ..., "answer": ...}, answered by {"score": 0 to 1}.
routing::Rating RateAnswer(EntryServices& services, const routing::UpstreamDirectory& directory,
                           const CallerRequest& request, const AttemptId& attempt,
                           const std::string& answer, Duration timeout, Random& random);

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_RATING_CLIENT_H_
