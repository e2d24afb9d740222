#ifndef MASTICRILL_FAKES_GATEWAY_CALLER_H_
#define MASTICRILL_FAKES_GATEWAY_CALLER_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "gateway/call_runner.h"
#include "gateway/caller_connection.h"

namespace masticrill::fakes {

inline const ServiceId kService("service");

/// Header names of a made-up protocol: the gateway knows none by itself.
inline gateway::EdgeProtocol TestEdge() {
  gateway::EdgeProtocol edge;
  edge.read_call = [](const net::RequestHead& head) {
    gateway::CallMetadata facts;
    facts.request = RequestId(std::string(head.Header("Id").value_or("")));
    facts.key = std::string(head.Header("Key").value_or(""));
    facts.any_model = head.Header("Model") == "any";
    if (const auto wait = head.Header("Wait-Ms")) {
      facts.time_left = milliseconds(std::stol(std::string(*wait)));
    }
    if (const auto parts = head.Header("Parts")) {
      for (std::size_t begin = 0; begin < parts->size(); begin += 2) {
        facts.prompt.push_back({std::string(parts->substr(begin, 1)), 1});
      }
    }
    facts.max_output_tokens = std::stoul(std::string(head.Header("Tokens").value_or("0")));
    return facts;
  };
  edge.write_attempt = [](const net::RequestHead& head, const gateway::AttemptParameters& order) {
    std::vector<net::HeaderField> fields = net::WithoutConnectionFields(head.headers);
    fields.push_back({"For", order.upstream.Value()});
    fields.push_back({"Left-Ms", std::to_string(order.time_left.count())});
    if (order.model) {
      fields.push_back({"Use-Model", order.model->Value()});
    }
    if (!order.after_event.empty()) {
      fields.push_back({"After", order.after_event});
    }
    return fields;
  };
  edge.read_answer = [](const net::AnswerHead& head) {
    gateway::AnswerMetadata facts;
    facts.not_run = head.Header("Not-Run").has_value();
    facts.other_upstream = head.Header("Other-Upstream").has_value();
    facts.request = RequestId(std::string(head.Header("Id").value_or("")));
    facts.is_signed = head.Header("Signed").has_value();
    facts.is_leaving = head.Header("Leaves").has_value();
    if (const auto pause = head.Header("Pause-Ms")) {
      facts.pause = milliseconds(std::stol(std::string(*pause)));
    }
    if (const auto sure = head.Header("Sure")) {
      facts.confidence = std::stod(std::string(*sure));
    }
    return facts;
  };
  return edge;
}

/// What a caller got: every byte until the gateway closed the connection or the answer was whole.
struct CallerSaw {
  std::string bytes;
  net::IoEnd end = net::IoEnd::kTimeout;

  bool Has(std::string_view text) const { return this->bytes.find(text) != std::string::npos; }
  int Status() const { return this->bytes.size() < 12 ? 0 : std::stoi(this->bytes.substr(9, 3)); }
};

/// A gateway's request path between a caller on loopback and upstreams, without a control plane.
class GatewayPath {
 public:
  explicit GatewayPath(gateway::Route prototype,
                       std::size_t max_buffered_bytes = gateway::CallSettings().max_buffered_bytes)
      : buffers(max_buffered_bytes), budgets(settings) {
    this->Declare(std::move(prototype));
  }

  /// Puts a table with this route only in force.
  void Declare(gateway::Route prototype, const gateway::CallerLimits& limits = {}) {
    prototype.id = gateway::RouteId("route");
    prototype.host = "host";
    if (prototype.path_prefix.empty()) {
      prototype.path_prefix = "/";
    }
    if (prototype.targets.empty()) {
      prototype.targets = {{kService, 1}};
    }
    if (prototype.timeout.count() == 0) {
      prototype.timeout = milliseconds(20'000);
    }
    if (prototype.latency_target.count() == 0) {
      prototype.latency_target = milliseconds(5'000);
    }
    gateway::RouteTable next;
    next.revision = ++this->revision;
    next.limits = limits;
    next.routes.emplace(prototype.id, prototype);
    next.services[kService] = {kService, 0, {}, true, 1, {}};
    next.key_owners["good-key"] = {TeamId("team"), std::nullopt};
    next.requires_keys = !prototype.is_public;
    gateway::IndexRoutes(next);
    const std::scoped_lock lock(this->table_mutex);
    this->table = std::make_shared<const gateway::RouteTable>(std::move(next));
    this->pool.SetRules({this->table, {}, {}});
  }

  /// The upstreams in the order in which a caller's request meets them, as far as the choice is
  /// free: each is in the list alone until it was called.
  void SetUpstreams(const std::vector<std::string>& addresses) {
    gateway::UpstreamList list;
    for (std::size_t index = 0; index < addresses.size(); ++index) {
      gateway::ListedUpstream upstream;
      upstream.id = UpstreamId("u" + std::to_string(index));
      upstream.service = kService;
      upstream.address = addresses[index];
      // The first is local and is chosen first.
      upstream.failure_domain = FailureDomainId(index == 0 ? "home" : "away");
      upstream.version = VersionId("v1");
      list.push_back(upstream);
    }
    this->pool.SetList(list, SystemClock().Now());
  }

  /// Sends bytes on a new connection and reads what comes back.
  CallerSaw Send(const std::string& bytes) {
    const std::unique_ptr<net::SocketStream> caller = this->Connect();
    caller->Write(bytes, SystemClock().Now() + seconds(10));
    return Read(*caller);
  }

  static CallerSaw Read(net::SocketStream& caller) {
    CallerSaw saw;
    while (true) {
      saw.end = caller.Fill(SystemClock().Now() + seconds(30));
      saw.bytes = std::string(caller.Buffered());
      if (saw.end != net::IoEnd::kDone) {
        return saw;
      }
    }
  }

  /// A connection that the gateway serves on a thread of its own until it ends.
  std::unique_ptr<net::SocketStream> Connect() {
    net::IoEnd end = net::IoEnd::kDone;
    auto caller = net::SocketStream::Connect(this->listener.address().toString(),
                                             SystemClock().Now() + seconds(10), nullptr, end);
    this->threads.emplace_back([this, accepted = this->listener.acceptConnection()] {
      gateway::CallerConnection connection(
          net::SocketStream(accepted),
          [this] {
            gateway::CallerLimits limits = this->Table()->limits;
            ++this->limit_reads;
            return limits;
          },
          [this] { return this->phase.load(); }, [this] { return this->AnswerBy(); },
          {this->buffers, this->reads,
           [this](const net::RequestHead& head) { return this->edge.read_call(head).key; },
           this->settings.retry_after},
          [this](const net::RequestHead& head, const std::string& body,
                 gateway::CallerStream& stream, TimePoint arrived_at) {
            gateway::CallRunner(this->parts, head, body, stream, arrived_at).Run();
          });
      connection.Run();
    });
    return caller;
  }

  ~GatewayPath() {
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  gateway::CallSettings settings;
  BufferBudget buffers;
  net::PendingReads reads{milliseconds(500)};
  std::atomic<gateway::StopPhase> phase = gateway::StopPhase::kServing;
  std::atomic<bool> lease_valid = true;
  /// How many of the next requests for the configuration find its lease lapsed.
  std::atomic<int> lapsed_views = 0;
  /// How many of the next requests for the configuration find its lease valid, before it lapses;
  /// negative while it does not.
  std::atomic<int> valid_views = -1;
  /// How often connections have asked for the limits.
  std::atomic<int> limit_reads = 0;
  /// When this node ends at the latest; the greatest time while it is not stopping.
  std::atomic<TimePoint> ends_at = TimePoint::max();
  gateway::UpstreamPool pool{gateway::PoolSettings{.own_domain = FailureDomainId("home")},
                             Random(1)};
  gateway::GatewayMetrics metrics;
  gateway::ActiveCalls active;
  gateway::StreamPace pace;
  gateway::AnswerLateness lateness;
  gateway::PatienceGate patience;
  gateway::ModelConfidence model_confidence;
  routing::EvidenceTable evidence;
  gateway::PromptGuard prompts;

 private:
  std::optional<TimePoint> AnswerBy() const {
    const TimePoint end = this->ends_at;
    return end == TimePoint::max() ? std::nullopt
                                   : std::optional(end - Duration(this->settings.stop_margin));
  }

  bool HasLease() {
    if (this->lapsed_views > 0) {
      --this->lapsed_views;
      return false;
    }
    if (this->valid_views > 0) {
      --this->valid_views;
    } else if (this->valid_views == 0) {
      return false;
    }
    return this->lease_valid;
  }

  gateway::RouteTablePtr Table() {
    const std::scoped_lock lock(this->table_mutex);
    return this->table;
  }

  gateway::EdgeProtocol edge = TestEdge();
  gateway::RetryBudgets budgets;
  std::uint64_t revision = 0;
  std::mutex table_mutex;
  gateway::RouteTablePtr table;
  gateway::CallContext parts{
      edge,
      settings,
      pool,
      budgets,
      buffers,
      evidence,
      prompts,
      metrics,
      pace,
      lateness,
      patience,
      model_confidence,
      [this] {
        return std::make_shared<const gateway::GatewayView>(gateway::GatewayView{
            nullptr, this->Table(), this->HasLease() ? TimePoint::max() : TimePoint::min()});
      },
      [](TimePoint) {},
      [this] { return this->AnswerBy(); },
      [this] { return this->phase.load(); },
      active};
  Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1:0")};
  std::vector<std::thread> threads;
};

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_GATEWAY_CALLER_H_
