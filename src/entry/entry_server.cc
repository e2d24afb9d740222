#include "masticrill/entry/entry_server.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "entry/caller_answer.h"
#include "entry/caller_request.h"
#include "entry/entry_services.h"
#include "entry/request_runner.h"
#include "entry/rollout_guard.h"
#include "entry/session_pinner.h"
#include "entry/team_limits.h"
#include "masticrill/common/hash.h"
#include "masticrill/common/log.h"
#include "masticrill/common/random.h"
#include "masticrill/config/permission.h"

namespace masticrill::entry {
namespace {

constexpr Logger kLog(LogPart::kEntry);
constexpr milliseconds kStoppingRetryAfter{1000};
constexpr milliseconds kTeamLimitRetryAfter{500};
constexpr seconds kSettleLimit{20};
constexpr int kIncarnationRandomBytes = 6;
/// The team under which requests without a valid key are counted.
constexpr std::string_view kUnknownTeam = "unauthenticated";

Refusal RefuseNotRun(RefusalKind kind, std::string message,
                     std::optional<milliseconds> retry_after = std::nullopt) {
  return {kind, Execution::kNotRun, std::move(message), retry_after};
}

std::string ModelsDocument(const config::Configuration& configuration, const TeamId& team) {
  using Json = nlohmann::json;
  Json list = Json::array();
  for (const auto& [id, model] : configuration.models) {
    const auto target = config::RequestTarget::ForModel(id);
    if (!config::CheckPermission(configuration, team, target).allowed) {
      continue;
    }
    list.push_back({{"id", id.Value()}, {"object", "model"}});
    for (const auto& [version, state] : model.versions) {
      const auto versioned = config::RequestTarget::ForVersion({id, version});
      if (config::CheckPermission(configuration, team, versioned).allowed) {
        list.push_back({{"id", id.Value() + "@" + version.Value()}, {"object", "model"}});
      }
    }
  }
  for (const auto& [id, cascade] : configuration.cascades) {
    if (config::CheckPermission(configuration, team, config::RequestTarget::ForCascade(id))
            .allowed) {
      list.push_back({{"id", id.Value()}, {"object", "cascade"}});
    }
  }
  return Json{{"object", "list"}, {"data", list}}.dump();
}

}  // namespace

class EntryServer::Impl {
 public:
  explicit Impl(const EntryOptions& options) {
    this->services.options = options;
    this->services.self = {net::NodeRole::kEntry, NodeId(options.name),
                           IncarnationId(std::to_string(this->services.clock.WallNow()) + "-" +
                                         SecureRandomHex(kIncarnationRandomBytes))};
    this->services.session_key = HmacSha256Hex(options.shared_secret, "session token");
  }

  ~Impl() { this->StopNow(Duration(0)); }

  Result<void> Start() {
    const net::Credentials credentials{this->services.self, this->services.options.shared_secret};
    BOOST_LEAF_ASSIGN(this->http,
                      net::HttpServer::Start(this->services.options.http,
                                             [this](const auto& request, auto& responder) {
                                               this->Handle(request, responder);
                                             }));
    this->services.control = std::make_shared<node::ControlLink>(
        this->services.options.control_addresses, credentials, net::ChannelLimits{});
    this->services.links = std::make_unique<SidecarLinks>(credentials, this->services.table);
    this->services.sender = std::make_unique<node::CommandSender>(this->services.control);
    this->services.ledger =
        std::make_unique<LedgerClient>(*this->services.sender, this->services.self);
    this->services.lease = std::make_unique<node::LeaseClient>(
        this->services.control, this->services.self, this->http->Address(),
        [this](const config::ConfigurationPtr& configuration, const node::LeaseUpdate&) {
          this->OnConfiguration(configuration);
          return true;
        });
    this->rollout_guard = std::make_unique<RolloutGuard>(this->services);
    this->ready = true;
    kLog.Info("Entry started.",
              {{"name", this->services.options.name}, {"http", this->http->Address()}});
    return {};
  }

  std::string HttpAddress() const { return this->http->Address(); }

  void StopPlanned() {
    kLog.Info("Entry is stopping.");
    this->stopping = true;
    this->StopNow(kSettleLimit);
    kLog.Info("Entry stopped.");
  }

 private:
  void StopNow(Duration settle_limit) {
    if (this->http == nullptr || this->stopped.exchange(true)) {
      return;
    }
    this->stopping = true;
    this->http->StopAccepting();
    {
      std::unique_lock lock(this->mutex);
      this->none_open.wait(lock, [this] { return this->open_requests == 0; });
    }
    this->http->Stop();
    if (this->rollout_guard != nullptr) {
      this->rollout_guard->Stop();
    }
    if (this->services.ledger != nullptr) {
      this->services.ledger->Stop(settle_limit);
    }
    if (this->services.lease != nullptr) {
      this->services.lease->Stop();
    }
    if (this->services.sender != nullptr) {
      this->services.sender->Stop();
    }
    if (this->services.links != nullptr) {
      this->services.links->Stop();
    }
  }

  void OnConfiguration(const config::ConfigurationPtr& configuration) {
    const auto current = this->services.Directory();
    if (current != nullptr && current->Config().number >= configuration->number) {
      return;
    }
    const routing::DirectorySettings settings{NodeId(this->services.options.name),
                                              this->services.options.failure_domain,
                                              this->services.options.subset_size};
    const auto next = std::make_shared<const routing::UpstreamDirectory>(configuration, settings);
    this->services.links->Configure(*configuration, next->AllUpstreams());
    this->services.SetDirectory(next);
  }

  RequestId NewRequestId() {
    return RequestId(this->services.options.name + "-" + this->services.self.incarnation.Value() +
                     "-" + std::to_string(this->last_request.fetch_add(1) + 1));
  }

  void Handle(const net::HttpRequest& request, net::HttpResponder& responder) {
    if (request.path == "/healthz") {
      responder.SendWhole({200, {{"Content-Type", "text/plain"}}, "ok\n"});
    } else if (request.path == "/readyz") {
      this->HandleReady(responder);
    } else if (request.path == "/metrics") {
      this->HandleMetrics(responder);
    } else if (request.path == "/v1/models") {
      this->HandleModels(request, responder);
    } else if (request.path == kChatPath || request.path.starts_with(kServicePrefix)) {
      this->HandleCaller(request, responder);
    } else {
      const Refusal refusal = RefuseNotRun(
          RefusalKind::kBadRequest,
          "There is no such path. Use /v1/chat/completions, /v1/models or /v1/services/NAME/.");
      net::HttpAnswer answer = RefusalAnswer(refusal, {this->NewRequestId(), {}, {}, false, false});
      answer.status = 404;
      responder.SendWhole(answer);
    }
  }

  void HandleReady(net::HttpResponder& responder) {
    const bool serving = this->ready && !this->stopping && this->services.Directory() != nullptr &&
                         this->services.lease->Check(this->services.clock.Now()).valid;
    responder.SendWhole({serving ? 200 : 503,
                         {{"Content-Type", "text/plain"}},
                         serving ? "ready\n" : "not ready\n"});
  }

  void HandleMetrics(net::HttpResponder& responder) {
    const auto directory = this->services.Directory();
    const bool lease_valid =
        this->ready && this->services.lease->Check(this->services.clock.Now()).valid;
    responder.SendWhole({200,
                         {{"Content-Type", "text/plain; version=0.0.4"}},
                         this->services.metrics.Write(
                             directory == nullptr ? 0 : directory->Config().number, lease_valid,
                             this->ready ? this->services.ledger->HeldCharges() : 0)});
  }

  void HandleModels(const net::HttpRequest& request, net::HttpResponder& responder) {
    const auto directory = this->services.Directory();
    const AnswerLabels labels{this->NewRequestId(), {}, {}, false, false};
    if (directory == nullptr) {
      responder.SendWhole(RefusalAnswer(this->NoLease(), labels));
      return;
    }
    const std::optional<TeamId> team =
        config::FindTeamByKey(directory->Config(), request.BearerKey());
    if (!team) {
      responder.SendWhole(RefusalAnswer(Unauthenticated(), labels));
      return;
    }
    responder.SendWhole(
        {200, {{"Content-Type", "application/json"}}, ModelsDocument(directory->Config(), *team)});
  }

  static Refusal Unauthenticated() {
    return RefuseNotRun(RefusalKind::kUnauthenticated,
                        "No valid team key. Send 'Authorization: Bearer KEY'.");
  }

  Refusal NoLease() {
    const config::LeaseCheck check = this->ready
                                         ? this->services.lease->Check(this->services.clock.Now())
                                         : config::LeaseCheck{};
    return RefuseNotRun(
        RefusalKind::kNoLease,
        "This entry cannot show that its configuration is current. Send the request "
        "again, to another entry if there is one.",
        std::max(check.retry_after, kStoppingRetryAfter));
  }

  /// Counts a request as open while it exists.
  class OpenRequest {
   public:
    explicit OpenRequest(Impl& impl) : impl(impl) {
      const std::lock_guard lock(impl.mutex);
      ++impl.open_requests;
      impl.services.metrics.open.fetch_add(1);
    }
    ~OpenRequest() {
      const std::lock_guard lock(this->impl.mutex);
      --this->impl.open_requests;
      this->impl.services.metrics.open.fetch_sub(1);
      this->impl.none_open.notify_all();
    }
    OpenRequest(const OpenRequest&) = delete;
    OpenRequest& operator=(const OpenRequest&) = delete;

   private:
    Impl& impl;
  };

  void HandleCaller(const net::HttpRequest& request, net::HttpResponder& responder) {
    const OpenRequest open(*this);
    const RequestId id = this->NewRequestId();
    this->services.metrics.received.fetch_add(1);
    const auto directory = this->services.Directory();
    if (this->stopping) {
      this->RefuseEarly(
          responder, id, TeamId(std::string(kUnknownTeam)), RequestClass::kCaption,
          RefuseNotRun(RefusalKind::kStopping, "This entry is stopping. Send the request again.",
                       kStoppingRetryAfter));
      return;
    }
    if (!this->ready || directory == nullptr) {
      responder.SendWhole(RefusalAnswer(this->NoLease(), {id, {}, {}, false, false}));
      this->services.metrics.refusals.Add(RefusalKind::kNoLease);
      return;
    }
    const std::optional<TeamId> team =
        config::FindTeamByKey(directory->Config(), request.BearerKey());
    if (!team) {
      this->RefuseEarly(responder, id, TeamId(std::string(kUnknownTeam)), RequestClass::kCaption,
                        Unauthenticated());
      return;
    }
    std::variant<CallerRequest, Refusal> read = ReadCallerRequest(
        request, directory->Config(), *team, id,
        {this->services.options.default_timeout, this->services.options.max_timeout},
        this->services.clock.Now());
    if (const auto* refusal = std::get_if<Refusal>(&read); refusal != nullptr) {
      this->RefuseEarly(responder, id, *team, RequestClass::kCaption, *refusal);
      return;
    }
    this->Serve(request, responder, *directory, std::get<CallerRequest>(std::move(read)));
  }

  void Serve(const net::HttpRequest& request, net::HttpResponder& responder,
             const routing::UpstreamDirectory& directory, CallerRequest caller) {
    const RequestId id = caller.traits.id;
    const TeamId team = caller.traits.team;
    const RequestClass request_class = caller.traits.request_class;
    if (!this->services.lease->Check(this->services.clock.Now()).valid) {
      this->RefuseEarly(responder, id, team, request_class, this->NoLease());
      return;
    }
    const TeamLimits::Slot slot =
        this->team_limits.Take(team, directory.Config().teams.at(team).max_in_flight);
    if (!slot.Taken()) {
      this->RefuseEarly(
          responder, id, team, request_class,
          RefuseNotRun(RefusalKind::kTeamLimit,
                       "The team has its limit of requests in flight. Wait for one to "
                       "end.",
                       kTeamLimitRetryAfter));
      return;
    }
    const std::string_view token = request.Header("X-Session-Token").value_or("");
    if (const std::optional<Refusal> refusal =
            PinSession(this->services, directory.Config(), token, caller.traits);
        refusal) {
      this->RefuseEarly(responder, id, team, request_class, *refusal);
      return;
    }
    this->services.ledger->CountReceived({team, request_class});
    RequestRunner(this->services, std::move(caller), responder).Run();
  }

  /// Refuses a request before any decision was made on it.
  void RefuseEarly(net::HttpResponder& responder, const RequestId& id, const TeamId& team,
                   RequestClass request_class, const Refusal& refusal) {
    responder.SendWhole(RefusalAnswer(refusal, {id, {}, {}, false, false}));
    this->services.metrics.refusals.Add(refusal.kind);
    this->services.ledger->CountReceived({team, request_class});
    state::Outcome outcome;
    outcome.request = id;
    outcome.team = team;
    outcome.request_class = request_class;
    outcome.kind = state::OutcomeKind::kRefused;
    outcome.refusal = refusal.kind;
    outcome.execution = refusal.execution;
    outcome.at = this->services.clock.WallNow();
    this->services.ledger->CountEnded(outcome);
  }

  EntryServices services;
  std::unique_ptr<RolloutGuard> rollout_guard;
  std::unique_ptr<net::HttpServer> http;
  TeamLimits team_limits;
  std::atomic<std::uint64_t> last_request = 0;
  std::atomic<bool> ready = false;
  std::atomic<bool> stopping = false;
  std::atomic<bool> stopped = false;
  std::mutex mutex;
  std::condition_variable none_open;
  std::size_t open_requests = 0;
};

Result<std::unique_ptr<EntryServer>> EntryServer::Start(const EntryOptions& options) {
  auto impl = std::make_unique<Impl>(options);
  BOOST_LEAF_CHECK(impl->Start());
  return std::unique_ptr<EntryServer>(new EntryServer(std::move(impl)));
}

EntryServer::EntryServer(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
EntryServer::~EntryServer() = default;

std::string EntryServer::HttpAddress() const { return this->impl->HttpAddress(); }
void EntryServer::Stop() { this->impl->StopPlanned(); }

}  // namespace masticrill::entry
