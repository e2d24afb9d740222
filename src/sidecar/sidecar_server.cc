#include "masticrill/sidecar/sidecar_server.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_set>

#include "masticrill/common/log.h"
#include "masticrill/common/random.h"
#include "masticrill/common/worker_pool.h"
#include "masticrill/net/http_server.h"
#include "masticrill/net/rpc_server.h"
#include "masticrill/node/command_sender.h"
#include "masticrill/node/lease_client.h"
#include "sidecar/attempt_runner.h"
#include "sidecar/live_attempts.h"
#include "sidecar/load_reporter.h"
#include "sidecar/message_conversion.h"
#include "sidecar/sidecar_metrics.h"

namespace masticrill::sidecar {
namespace {

constexpr Logger kLog(LogPart::kSidecar);
constexpr milliseconds kTickInterval{20};
/// How often LoadReporter is asked whether to send the load.
constexpr milliseconds kLoadInterval{200};
constexpr milliseconds kReceiptInterval{500};
constexpr std::size_t kReceiptBatchSize = 64;
constexpr seconds kCommitTimeout{2};
/// How long a planned stop waits for running attempts and unacknowledged receipts.
constexpr seconds kDrainTimeout{120};
constexpr int kIncarnationRandomBytes = 6;

IncarnationId NewIncarnation(WallTimeMs started_at) {
  return IncarnationId(std::to_string(started_at) + "-" + SecureRandomHex(kIncarnationRandomBytes));
}

/// The subscription of an entry to the upstream's load.
struct LoadSubscription {
  std::shared_ptr<net::Channel> channel;
  std::uint64_t correlation = 0;
};

}  // namespace

class SidecarServer::Impl {
 public:
  explicit Impl(const SidecarOptions& options)
      : options(options),
        started_at(this->clock.WallNow()),
        incarnation(NewIncarnation(this->started_at)),
        admission(this->incarnation, options.admission, this->clock.Now()),
        workers(options.max_threads) {}

  ~Impl() { this->StopNow(); }

  Result<void> Start() {
    BOOST_LEAF_ASSIGN(this->upstream,
                      kernel::UpstreamPlugins::Instance().Make(this->options.upstream_kind,
                                                               {this->options.upstream_address}));
    const net::Credentials credentials{
        {net::NodeRole::kSidecar, NodeId(this->options.name), this->incarnation},
        this->options.shared_secret};
    BOOST_LEAF_ASSIGN(this->rpc, net::RpcServer::Start(
                                     {.address = this->options.rpc_address,
                                      .max_connections = this->options.max_connections},
                                     credentials,
                                     [this](const auto& channel, net::Frame frame) {
                                       this->OnFrame(channel, frame);
                                     },
                                     [this](const auto& channel) { this->OnClosed(channel); }));
    net::HttpServerOptions http_options;
    http_options.address = this->options.http_address;
    http_options.max_connections = 8;
    BOOST_LEAF_ASSIGN(this->http, net::HttpServer::Start(
                                      http_options, [this](const auto& request, auto& responder) {
                                        this->OnHttp(request, responder);
                                      }));
    this->link = std::make_shared<node::ControlLink>(this->options.control_addresses, credentials,
                                                     net::ChannelLimits{});
    this->sender = std::make_unique<node::CommandSender>(this->link);
    this->lease = std::make_unique<node::LeaseClient>(
        this->link, credentials.self, this->rpc->Address(),
        [this](const config::ConfigurationPtr& configuration, const node::LeaseUpdate& news) {
          this->OnLease(configuration, news.valid_until);
          return true;
        });
    this->ticker = std::thread([this] { this->Tick(); });
    this->reporter = std::thread([this] { this->ReportReceipts(); });
    kLog.Info("Sidecar started.", {{"name", this->options.name},
                                   {"rpc", this->rpc->Address()},
                                   {"http", this->http->Address()}});
    return {};
  }

  std::string RpcAddress() const { return this->rpc->Address(); }
  std::string HttpAddress() const { return this->http->Address(); }

  void DrainAndStop() {
    kLog.Info("Sidecar is draining; running attempts have until the drain timeout to end.");
    this->Apply(this->admission.BeginDrain(this->clock.Now()));
    this->SendLoad(true);
    const TimePoint deadline = this->clock.Now() + kDrainTimeout;
    std::unique_lock lock(this->mutex);
    while (!(this->admission.Drained() && this->admission.HeldReceipts() == 0) &&
           this->clock.Now() < deadline) {
      this->changed.wait_for(lock, kTickInterval);
    }
    lock.unlock();
    this->StopNow();
    kLog.Info("Sidecar stopped.");
  }

 private:
  void StopNow() {
    {
      const std::lock_guard lock(this->mutex);
      if (this->stopped) {
        return;
      }
      this->stopped = true;
    }
    this->changed.notify_all();
    if (this->ticker.joinable()) {
      this->ticker.join();
    }
    if (this->reporter.joinable()) {
      this->reporter.join();
    }
    if (this->lease != nullptr) {
      this->lease->Stop();
    }
    if (this->rpc != nullptr) {
      this->rpc->Stop();
    }
    this->workers.Stop();
    if (this->sender != nullptr) {
      this->sender->Stop();
    }
    if (this->http != nullptr) {
      this->http->Stop();
    }
  }

  void OnFrame(const std::shared_ptr<net::Channel>& channel, const net::Frame& frame) {
    const bool handled = HandleErrors(
        [&]() -> Result<bool> { return this->Dispatch(channel, frame); },
        [&](const Error& error) {
          channel->Send(frame.correlation,
                        net::ErrorReply{std::string(ToString(error.kind)), error.message});
          return false;
        });
    if (!handled) {
      kLog.Warning("A message could not be processed; an error reply was sent.",
                   {{"from", channel->Peer().node}});
    }
  }

  Result<bool> Dispatch(const std::shared_ptr<net::Channel>& channel, const net::Frame& frame) {
    switch (frame.type) {
      case net::MessageType::kAttemptRequest: {
        BOOST_LEAF_AUTO(request, net::DecodePayload<net::AttemptRequest>(frame.payload));
        this->Submit(std::make_shared<LiveAttempt>(request, channel, frame.correlation));
        return true;
      }
      case net::MessageType::kCancelAttempt: {
        BOOST_LEAF_AUTO(request, net::DecodePayload<net::CancelAttempt>(frame.payload));
        this->Cancel(request.attempt);
        return true;
      }
      case net::MessageType::kFenceRequest: {
        BOOST_LEAF_AUTO(request, net::DecodePayload<net::FenceRequest>(frame.payload));
        channel->Send(frame.correlation, this->Fence(request));
        return true;
      }
      case net::MessageType::kAcknowledgeReceipts: {
        BOOST_LEAF_AUTO(request, net::DecodePayload<net::AcknowledgeReceipts>(frame.payload));
        for (const AttemptId& attempt : request.attempts) {
          this->admission.AcknowledgeReceipt(attempt);
        }
        return true;
      }
      case net::MessageType::kLoadRequest: {
        this->Subscribe(channel, frame.correlation);
        return true;
      }
      default:
        return Fail(
            ErrorKind::kMalformedMessage,
            "A sidecar does not handle this message type. Check the address that the sender uses.");
    }
  }

  void OnClosed(const std::shared_ptr<net::Channel>& channel) {
    {
      const std::lock_guard lock(this->mutex);
      std::erase_if(this->subscriptions,
                    [&](const LoadSubscription& entry) { return entry.channel == channel; });
    }
    for (const LiveAttemptPtr& attempt : this->live.FindByChannel(channel.get())) {
      this->Cancel(attempt->request.attempt);
    }
  }

  void Submit(const LiveAttemptPtr& attempt) {
    const AttemptSpec spec =
        ToAttemptSpec(attempt->request, this->lease->Configuration(), this->clock.Now());
    const bool is_new = this->live.Add(attempt);
    const Decision decision = this->admission.Submit(spec, this->clock.Now());
    switch (decision.kind) {
      case DecisionKind::kStart:
        this->StartAttempt(attempt);
        break;
      case DecisionKind::kQueued:
        break;
      case DecisionKind::kRefuse:
        if (is_new) {
          this->live.Take(spec.attempt);
        }
        this->SendRefusal(*attempt, *decision.reason, decision.retry_after);
        break;
    }
    this->Apply(decision.effects);
  }

  /// Starts and refuses queued attempts as decided by an event.
  void Apply(const Effects& effects) {
    for (const RefusedAttempt& refused : effects.refused) {
      if (const LiveAttemptPtr attempt = this->live.Take(refused.attempt); attempt != nullptr) {
        this->SendRefusal(*attempt, refused.reason, refused.retry_after);
      }
    }
    for (const AttemptId& id : effects.start) {
      if (const LiveAttemptPtr attempt = this->live.Find(id); attempt != nullptr) {
        this->StartAttempt(attempt);
      }
    }
  }

  void StartAttempt(const LiveAttemptPtr& attempt) {
    this->workers.Run([this, attempt] { this->RunToEnd(attempt); });
  }

  void RunToEnd(const LiveAttemptPtr& attempt) {
    const AttemptId id = attempt->request.attempt;
    const Decision confirmed = this->admission.ConfirmStart(id, this->clock.Now());
    if (confirmed.kind == DecisionKind::kRefuse) {
      this->live.Take(id);
      this->SendRefusal(*attempt, *confirmed.reason, confirmed.retry_after);
      this->Apply(confirmed.effects);
      return;
    }
    attempt->Send(net::AttemptStarted{id});
    AttemptReport report = RunAttempt(*attempt, this->upstream, this->options.upstream_read_timeout,
                                      [&] { this->admission.OnFirstToken(id, this->clock.Now()); });
    const TimePoint now = this->clock.Now();
    if (report.engine_start) {
      this->Apply(this->admission.OnEngineStart(*report.engine_start, now));
    }
    this->Apply(this->admission.OnFinished(id, report.completion, now));
    this->live.Take(id);
    report.end.load = this->CurrentLoad();
    attempt->Send(report.end);
    this->metrics.outcomes.Add(report.completion.outcome);
    this->changed.notify_all();
  }

  void Cancel(const AttemptId& id) {
    const LiveAttemptPtr attempt = this->live.Find(id);
    if (attempt == nullptr) {
      return;
    }
    const Effects effects =
        this->admission.OnCancel(id, attempt->generated_tokens, this->clock.Now());
    if (!attempt->request.at_most_once) {
      attempt->cancellation.Cancel();
    }
    this->Apply(effects);
  }

  net::FenceReply Fence(const net::FenceRequest& request) {
    const FenceDecision decision = this->admission.Fence(
        {request.attempt, request.incarnation, request.at_most_once}, this->clock.Now());
    this->Apply(decision.effects);
    return ToFenceReply(decision.result);
  }

  void SendRefusal(LiveAttempt& attempt, RefuseReason reason,
                   std::optional<milliseconds> retry_after) {
    net::AttemptRefused message;
    message.attempt = attempt.request.attempt;
    message.code = ToRefusalCode(reason);
    message.reason = ToString(reason);
    message.retry_after_ms = retry_after ? std::max<std::int64_t>(retry_after->count(), 1) : 0;
    message.load = this->CurrentLoad();
    attempt.Send(message);
  }

  net::LoadReport CurrentLoad() {
    return ToNetLoadReport(this->admission.Load(this->clock.Now()), UpstreamId(this->options.name),
                           this->started_at);
  }

  void Subscribe(const std::shared_ptr<net::Channel>& channel, std::uint64_t correlation) {
    {
      const std::lock_guard lock(this->mutex);
      this->subscriptions.push_back({channel, correlation});
    }
    channel->Send(correlation, net::LoadReply{this->CurrentLoad()});
  }

  /// Sends the load to the entries that subscribed, if it is due or `always` is set.
  void SendLoad(bool always) {
    const net::LoadReport load = this->CurrentLoad();
    std::vector<LoadSubscription> receivers;
    {
      const std::lock_guard lock(this->mutex);
      if (!this->load_reporter.Due(load, this->clock.Now()) && !always) {
        return;
      }
      receivers = this->subscriptions;
    }
    for (const LoadSubscription& receiver : receivers) {
      receiver.channel->Send(receiver.correlation, net::LoadReply{load});
    }
  }

  void OnLease(const config::ConfigurationPtr& configuration, TimePoint valid_until) {
    const TimePoint now = this->clock.Now();
    this->Apply(
        this->admission.OnConfiguration(configuration, UpstreamId(this->options.name), now));
    this->Apply(this->admission.OnLease(valid_until, now));
  }

  void Tick() {
    TimePoint next_load = this->clock.Now();
    std::unique_lock lock(this->mutex);
    while (!this->stopped) {
      lock.unlock();
      this->Apply(this->admission.OnTick(this->clock.Now()));
      if (this->clock.Now() >= next_load) {
        this->SendLoad(false);
        next_load = this->clock.Now() + kLoadInterval;
      }
      lock.lock();
      this->changed.wait_for(lock, kTickInterval, [this] { return this->stopped; });
    }
  }

  /// Bills attempts that no entry billed: a receipt that no entry acknowledged within
  /// ReceiptOptions::resend_after belongs to a lost entry.
  void ReportReceipts() {
    std::unordered_set<AttemptId> seen;
    std::unique_lock lock(this->mutex);
    while (!this->stopped) {
      lock.unlock();
      if (this->admission.HeldReceipts() == 0) {
        seen.clear();
      }
      for (const Receipt& receipt :
           this->admission.TakeDueReceipts(kReceiptBatchSize, this->clock.Now())) {
        if (receipt.outcome != EngineOutcome::kOk) {
          // Only an answered attempt is billed here; an entry bills the whole request.
          this->admission.AcknowledgeReceipt(receipt.attempt);
        } else if (!seen.insert(receipt.attempt).second) {
          this->Bill(receipt);
        }
      }
      lock.lock();
      this->changed.wait_for(lock, kReceiptInterval, [this] { return this->stopped; });
    }
  }

  void Bill(const Receipt& receipt) {
    const state::Charge charge =
        ToCharge(receipt, this->lease->Configuration(), this->clock.WallNow());
    const bool recorded_by_ledger = HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(result, this->sender->Commit(charge, kCommitTimeout));
          const auto* charged = std::get_if<state::ChargeResult>(&result);
          return charged != nullptr && charged->status != state::ChargeStatus::kFull;
        },
        [](const Error&) { return false; });
    if (recorded_by_ledger) {
      this->admission.AcknowledgeReceipt(receipt.attempt);
      this->metrics.billed_for_lost_entries.fetch_add(1);
    }
  }

  void OnHttp(const net::HttpRequest& request, net::HttpResponder& responder) {
    const bool ready = this->lease->Check(this->clock.Now()).valid;
    if (request.path == "/healthz") {
      responder.SendWhole({200, {{"Content-Type", "text/plain"}}, "ok\n"});
    } else if (request.path == "/readyz") {
      responder.SendWhole(
          {ready ? 200 : 503, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "no lease\n"});
    } else if (request.path == "/metrics") {
      responder.SendWhole({200,
                           {{"Content-Type", "text/plain; version=0.0.4"}},
                           this->metrics.Write(this->admission, this->clock.Now(), ready)});
    } else {
      responder.SendWhole(
          {404, {{"Content-Type", "text/plain"}}, "Use /healthz, /readyz or /metrics.\n"});
    }
  }

  SidecarOptions options;
  SystemClock clock;
  WallTimeMs started_at;
  IncarnationId incarnation;
  Admission admission;
  SidecarMetrics metrics;
  kernel::UpstreamCaller upstream;
  LiveAttempts live;
  WorkerPool workers;
  std::shared_ptr<node::ControlLink> link;
  std::unique_ptr<node::CommandSender> sender;
  std::unique_ptr<node::LeaseClient> lease;
  std::unique_ptr<net::RpcServer> rpc;
  std::unique_ptr<net::HttpServer> http;

  std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
  std::vector<LoadSubscription> subscriptions;
  LoadReporter load_reporter;
  std::thread ticker;
  std::thread reporter;
};

Result<std::unique_ptr<SidecarServer>> SidecarServer::Start(const SidecarOptions& options) {
  auto impl = std::make_unique<Impl>(options);
  BOOST_LEAF_CHECK(impl->Start());
  return std::unique_ptr<SidecarServer>(new SidecarServer(std::move(impl)));
}

SidecarServer::SidecarServer(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
SidecarServer::~SidecarServer() = default;

std::string SidecarServer::RpcAddress() const { return this->impl->RpcAddress(); }
std::string SidecarServer::HttpAddress() const { return this->impl->HttpAddress(); }
void SidecarServer::Stop() { this->impl->DrainAndStop(); }

}  // namespace masticrill::sidecar
