#ifndef MASTICRILL_GATEWAY_EDGE_PROTOCOL_H_
#define MASTICRILL_GATEWAY_EDGE_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/result.h"
#include "masticrill/gateway/route_table.h"
#include "masticrill/net/header_field.h"
#include "masticrill/net/http_message.h"

namespace masticrill::gateway {

/// A part of a prompt. Requests that begin with the same parts share them in upstreams' caches.
struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// What a caller says of its request, besides method, target and body.
struct CallMetadata {
  RequestId request;
  /// How long the caller waits, from the arrival of the request; absent when it does not say.
  std::optional<milliseconds> time_left;
  /// Empty when the caller sent none.
  std::string key;
  /// Requests of one session, and only they, have the same one; empty for none.
  std::string session;
  /// The caller leaves the choice of the model to the system.
  bool any_model = false;
  std::vector<PromptPart> prompt;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  /// The last event that the caller has; empty at the start of a stream.
  std::string last_event;

  friend bool operator==(const CallMetadata&, const CallMetadata&) = default;
};

/// What the system tells an upstream with an attempt.
struct AttemptParameters {
  UpstreamId upstream;
  TeamId team;
  milliseconds time_left{0};
  /// Set where the system chooses the model.
  std::optional<ModelId> model;
  /// 0 goes first; absent for the upstream's default.
  std::optional<std::uint32_t> rank;
  /// Set where a stream goes on behind an event.
  std::string after_event;

  friend bool operator==(const AttemptParameters&, const AttemptParameters&) = default;
};

/// An upstream's own load.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// What the header of an upstream's answer says.
struct AnswerMetadata {
  /// The upstream states that it did not run the request.
  bool not_run = false;
  /// Another upstream has taken over the address.
  bool other_upstream = false;
  /// The request that the upstream answers; empty when it does not say.
  RequestId request;
  /// The answer bears the upstream's signature.
  bool is_signed = false;
  /// The upstream ends the connection, or is leaving.
  bool closes = false;
  std::optional<LoadReport> load;
  /// How much longer the upstream is cold; absent when it does not say.
  std::optional<milliseconds> cold_left;
  /// How sure the model is of its answer, from 0 to 1.
  std::optional<double> confidence;

  friend bool operator==(const AnswerMetadata&, const AnswerMetadata&) = default;
};

/// The names and forms that callers and upstreams speak, given to the gateway from outside.
struct EdgeProtocol {
  std::function<CallMetadata(const net::RequestHead&)> read_call;
  /// The header fields for the upstream: those of the caller that go on, and those of the order.
  std::function<std::vector<net::HeaderField>(const net::RequestHead&, const AttemptParameters&)>
      write_attempt;
  std::function<AnswerMetadata(const net::AnswerHead&)> read_answer;
  /// Decodes and checks a declaration. Fails with kInvalidConfiguration.
  std::function<Result<RouteTable>(const std::string& text)> read_declaration;
  /// The path of the readiness check.
  std::string ready_path;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_EDGE_PROTOCOL_H_
