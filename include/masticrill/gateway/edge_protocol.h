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

/// A part of a prompt. Upstreams cache the parts with which several prompts begin.
struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// What the header fields of a caller's request say, besides method, target and body framing.
struct CallMetadata {
  RequestId request;
  /// How long the caller waits, from the arrival of the request; absent when the request states no
  /// limit.
  std::optional<milliseconds> time_left;
  /// The API key; empty when the caller sent none.
  std::string key;
  /// Identifies the session to which the request belongs; empty for none.
  std::string session;
  /// The caller leaves the choice of the model to the system.
  bool any_model = false;
  std::vector<PromptPart> prompt;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  /// The id of the last event that the caller has received; empty at the start of a stream.
  std::string last_event;

  friend bool operator==(const CallMetadata&, const CallMetadata&) = default;
};

/// The values that the gateway adds to a request for one attempt at an upstream.
struct AttemptParameters {
  UpstreamId upstream;
  TeamId team;
  milliseconds time_left{0};
  /// Set where the system chooses the model.
  std::optional<ModelId> model;
  /// 0 is the highest priority; absent for the upstream's default.
  std::optional<std::uint32_t> rank;
  /// The id of the event after which a resumed stream continues; empty for a stream from its start.
  std::string after_event;

  friend bool operator==(const AttemptParameters&, const AttemptParameters&) = default;
};

/// The load that an upstream reports: the requests that run and wait there, and the number that it
/// can run at once.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes on the upstream's machine now, as a multiple of the usual time; absent
  /// where the upstream does not say.
  std::optional<double> slowdown = {};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// What the header fields of an upstream's answer say.
struct AnswerMetadata {
  /// The upstream states that it did not run the request.
  bool not_run = false;
  /// Another upstream has taken over the address.
  bool other_upstream = false;
  /// The request that the upstream answers; empty when the answer does not state it.
  RequestId request;
  /// The answer bears the upstream's signature.
  bool is_signed = false;
  /// The upstream closes the connection after this answer.
  bool closes = false;
  std::optional<LoadReport> load;
  /// How much longer the upstream is cold; absent when the answer does not state it.
  std::optional<milliseconds> cold_left;
  /// The requests a second that the upstream takes from all entries together; absent when the
  /// answer states no limit.
  std::optional<double> requests_per_second;
  /// The upstream is leaving: it runs what it has and wants nothing new.
  bool is_leaving = false;
  /// How long the upstream, which turned the request away, wants no more from this entry; absent
  /// when it asks for no pause.
  std::optional<milliseconds> pause;
  /// The upstream asks for a pause in a form that cannot be read.
  bool pause_unreadable = false;
  /// The model's confidence in its answer, from 0 to 1.
  std::optional<double> confidence;

  friend bool operator==(const AnswerMetadata&, const AnswerMetadata&) = default;
};

/// Converts between the header fields of callers and upstreams and the gateway's own types.
/// Supplied by the program, since the gateway itself knows no field names. The functions are called
/// by many threads at once.
struct EdgeProtocol {
  std::function<CallMetadata(const net::RequestHead&)> read_call;
  /// The header fields for the upstream: those of the caller that are forwarded, and those that
  /// carry the attempt's parameters.
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
