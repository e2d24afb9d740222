#ifndef MASTICRILL_GATEWAY_UPSTREAM_ATTEMPT_H_
#define MASTICRILL_GATEWAY_UPSTREAM_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "masticrill/common/buffer_budget.h"
#include "masticrill/common/clock.h"
#include "masticrill/gateway/edge_protocol.h"
#include "masticrill/gateway/gateway_settings.h"
#include "masticrill/gateway/upstream_pool.h"
#include "masticrill/net/http_message.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::gateway {

/// How a step of an attempt ended.
enum class AttemptEnd {
  kAnswered,      // The head or the next part of the answer has been read.
  kFinished,      // The answer is complete.
  kNotConnected,  // The connection failed; nothing was handed over.
  kWithheld,  // The upstream no longer wants the request, or it may no longer be sent; nothing was
              // handed over.
  kNotRun,    // The upstream states that it did not run the request.
  kBroken,    // The connection broke, or the bytes received are no valid answer to this request.
  kSilent,    // The upstream has sent nothing for too long, to this or any other request.
  kSlow,      // No answer began within the time that the request allows one upstream.
  kTimeout,   // The request's deadline passed.
  kStopping,  // This process is about to end.
  kCallerDisconnected,
};

std::string_view ToString(AttemptEnd end);

/// The time limits of an attempt.
struct AttemptTimes {
  TimePoint deadline;
  /// When a request that may be retried elsewhere abandons the upstream, if no answer has begun.
  TimePoint answer_by;
  /// How long an upstream may send nothing before it is abandoned.
  Duration max_silence{0};
  /// Called before a silent or slow upstream is abandoned: whether the request goes on elsewhere if
  /// it is. Empty where that is ruled out; then only the deadline ends the wait.
  std::function<bool()> prepare_move;
  /// When a planned stop of this process ends the wait; absent while none has begun.
  std::function<std::optional<TimePoint>()> stop_by;
  /// Called right before the first byte of the request is sent: whether it may still be. Connecting
  /// takes time, in which a permission can run out.
  std::function<bool()> may_hand_over;
  /// Called before the first byte of the request is sent.
  std::function<void()> on_hand_over;
};

/// One attempt to run a request at one upstream, on a connection of its own. Counts as in flight
/// there until it is destroyed, which also ends the connection. Used by one thread.
class UpstreamAttempt {
 public:
  /// Takes over the request that UpstreamPool::Pick counted as in flight. The references outlive
  /// the attempt.
  UpstreamAttempt(const UpstreamPick& pick, const EdgeProtocol& protocol, UpstreamPool& pool,
                  BufferBudget& buffers, const CallSettings& settings);
  ~UpstreamAttempt();
  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

  /// Connects only; Start then goes on with the connection. kAnswered means connected.
  AttemptEnd Connect(const net::SocketStream& caller, TimePoint deadline);
  /// Connects unless Connect has, hands the request over and reads the head of the answer.
  AttemptEnd Start(const net::RequestHead& request, const AttemptParameters& parameters,
                   std::string_view body, const RequestId& id, const net::SocketStream& caller,
                   const AttemptTimes& times);
  /// Reads the next part of the answer's body. The last part comes with kFinished.
  AttemptEnd ReadPart(std::string& part, const net::SocketStream& caller,
                      const AttemptTimes& times);

  /// What the attempt says about the upstream's health; neutral unless set.
  void SetVerdict(AttemptVerdict next) { this->verdict = next; }
  /// Records, after kNotConnected, what that says about the upstream's health.
  void SetNotConnected() {
    this->verdict = this->connection_refused ? AttemptVerdict::kConnectionRefused
                                             : AttemptVerdict::kNoConnection;
  }
  /// Whether nothing listens at the upstream's address.
  bool ConnectionRefused() const { return this->connection_refused; }
  /// Whether the upstream may have begun to work on the request.
  bool HandedOver() const { return this->handed_over; }
  const net::AnswerHead& Head() const { return this->head; }
  const AnswerMetadata& Metadata() const { return this->metadata; }
  const ListedUpstream& Upstream() const { return this->upstream; }
  /// Whether the upstream ended the connection, or it was reset, after the hand-over.
  bool ConnectionLost() const { return this->connection_lost; }
  /// Whether only the end of the connection tells the end of the answer.
  bool EndsWithConnection() const {
    return this->decoder.Framing() == net::BodyFraming::kUntilClose;
  }
  bool AnswerBegun() const { return this->answer_begun; }
  /// How long ago the head of the answer arrived; zero before that.
  Duration AnswerAge(TimePoint now) const {
    return this->answer_begun ? now - this->answered_at : Duration::zero();
  }
  /// From the hand-over to the head of the answer.
  Duration AnswerLatency() const { return this->answered_at - this->started_at; }

 private:
  AttemptEnd HandOver(const net::RequestHead& request, const AttemptParameters& parameters,
                      std::string_view body, const net::SocketStream& caller,
                      const AttemptTimes& times);
  AttemptEnd SendPart(std::string_view bytes, const net::SocketStream& caller,
                      const AttemptTimes& times);
  AttemptEnd ReadHead(const net::SocketStream& caller, const AttemptTimes& times);
  AttemptEnd ReadOneHead(std::string& block, const net::SocketStream& caller,
                         const AttemptTimes& times);
  AttemptEnd CheckHead(const RequestId& id, const std::string& method);
  std::optional<AttemptEnd> CheckTimeouts(const AttemptTimes& times, TimePoint now) const;
  AttemptEnd FillOnce(const net::SocketStream& caller, const AttemptTimes& times);

  ListedUpstream upstream;
  /// The work that is counted as waiting at the upstream until the answer begins.
  double waiting_work;
  const EdgeProtocol& protocol;
  BufferBudget& buffers;
  UpstreamPool& pool;
  const CallSettings& settings;
  SystemClock clock;
  std::unique_ptr<net::SocketStream> stream;
  net::AnswerHead head;
  AnswerMetadata metadata;
  net::BodyDecoder decoder;
  AttemptVerdict verdict = AttemptVerdict::kNeutral;
  bool handed_over = false;
  bool answer_begun = false;
  bool connection_lost = false;
  bool connection_refused = false;
  TimePoint started_at;
  TimePoint answered_at;
  TimePoint last_received_at;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_ATTEMPT_H_
