#ifndef MASTICRILL_ENTRY_CALLER_ANSWER_H_
#define MASTICRILL_ENTRY_CALLER_ANSWER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/common/refusal.h"
#include "masticrill/net/http_server.h"

namespace masticrill::entry {

/// What every answer and refusal of a request says about itself.
struct AnswerLabels {
  RequestId request;
  std::optional<ModelVersion> version;
  std::optional<std::string> session_token;
  bool degraded = false;
  /// The answer was recorded by an earlier request with the same idempotency key.
  bool replayed = false;
};

std::vector<net::HeaderField> LabelHeaders(const AnswerLabels& labels);

/// The whole answer that carries a refusal.
net::HttpAnswer RefusalAnswer(const Refusal& refusal, const AnswerLabels& labels);

/// The last event of a stream that ends without its answer.
std::string RefusalEvent(const Refusal& refusal, const RequestId& request);

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_CALLER_ANSWER_H_
