#include "masticrill/gateway/gateway_server.h"

#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <exception>
#include <map>
#include <mutex>
#include <utility>

#include "gateway/call_runner.h"
#include "gateway/call_status.h"
#include "gateway/caller_connection.h"
#include "gateway/load_exchange.h"
#include "gateway/upstream_list_updater.h"
#include "masticrill/common/log.h"
#include "masticrill/common/random.h"
#include "masticrill/gateway/gateway_view.h"
#include "masticrill/gateway/upstream_pool.h"
#include "masticrill/net/connection_acceptor.h"
#include "masticrill/net/http_server.h"
#include "masticrill/net/pending_reads.h"
#include "masticrill/net/traffic.h"
#include "masticrill/node/control_link.h"
#include "masticrill/node/lease_client.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);
constexpr int kThreadStackBytes = 128 * 1024;
constexpr int kIncarnationBytes = 8;
/// Threads for the readiness check and the metrics, and further connections that may wait for one.
constexpr int kStatusConnections = 16;
/// A request to them that has not come whole in this time makes room for others.
constexpr milliseconds kMinStatusReadTime{100};
constexpr std::size_t kMaxStatusHeadBytes = std::size_t{16} << 10U;
constexpr std::size_t kMaxStatusBytes = std::size_t{1} << 20U;
/// The same for callers, whose links are slower.
constexpr Duration kMinReadTime = milliseconds(500);
/// Control hosts answer within milliseconds; after this time another one is asked.
constexpr milliseconds kConnectTimeout{250};
constexpr double kMsPerSecond = 1000;

/// Counts one more while it exists.
class CountedWhile {
 public:
  explicit CountedWhile(std::atomic<std::int64_t>& count) : count(count) { ++this->count; }
  ~CountedWhile() { --this->count; }
  CountedWhile(const CountedWhile&) = delete;
  CountedWhile& operator=(const CountedWhile&) = delete;

 private:
  std::atomic<std::int64_t>& count;
};

double LeaseLeftSeconds(const GatewayView& view, TimePoint now) {
  return std::chrono::duration<double>(std::max(view.valid_until - now, Duration::zero())).count();
}

std::set<PromptPartId> BlockedParts(const config::Configuration& configuration) {
  std::set<PromptPartId> parts;
  for (const auto& [part, block] : configuration.prompt_blocks) {
    if (block.state == config::PromptBlockState::kBlocked) {
      parts.insert(part);
    }
  }
  return parts;
}

void WriteBuffers(MetricsWriter& writer, const BufferBudget& buffers) {
  writer.Gauge("masticrill_gateway_buffer_limit_bytes",
               "The most that may be buffered for callers and upstreams.",
               static_cast<double>(buffers.MaxBytes()));
  writer.Header("masticrill_gateway_buffered_bytes",
                "Bytes that are buffered for callers and upstreams, but for small buffers.",
                "gauge");
  for (const BufferKind kind : kAllBufferKinds) {
    writer.Labelled("masticrill_gateway_buffered_bytes", "kind", ToString(kind),
                    static_cast<double>(buffers.HeldBytes(kind)));
  }
  writer.Header("masticrill_gateway_buffer_refusals_total",
                "Bodies, answers and events that were given up for lack of memory.", "counter");
  for (const BufferKind kind : kAllBufferKinds) {
    writer.Labelled("masticrill_gateway_buffer_refusals_total", "kind", ToString(kind),
                    static_cast<double>(buffers.Refusals(kind)));
  }
}

}  // namespace

struct GatewayServer::State {
  State(GatewayOptions options, EdgeProtocol protocol)
      : options(std::move(options)),
        protocol(std::move(protocol)),
        pool(PoolSettings{.own_domain = this->options.failure_domain,
                          .choice = this->options.choice,
                          .rollout = this->options.rollout},
             Random::FromSystem()),
        budgets(this->options.call),
        buffers(this->options.call.max_buffered_bytes),
        reads(kMinReadTime),
        prompts([this] { this->leases->RenewSoon(); }),
        call_context{this->protocol,
                     this->options.call,
                     this->pool,
                     this->budgets,
                     this->buffers,
                     this->evidence,
                     this->prompts,
                     this->metrics,
                     this->pace,
                     this->lateness,
                     this->patience,
                     this->model_confidence,
                     [this] { return this->View(); },
                     [this](TimePoint until) { this->AwaitLease(until); },
                     [this] { return this->AnswerBy(); },
                     [this] { return this->phase.load(); },
                     this->active},
        started_at(this->clock.Now()) {}

  Result<void> Start(UpstreamListReader read_list);
  Result<void> StartServers();
  bool OnLease(const config::ConfigurationPtr& configuration, TimePoint valid_until);
  RouteTablePtr DecodeTable(const config::Declaration& declaration,
                            const GatewayViewPtr& current) const;
  void SetView(const config::ConfigurationPtr& configuration, const RouteTablePtr& table,
               TimePoint valid_until);
  void ForgetOldEvidence(const config::Configuration& next);
  std::vector<net::RolloutReport> ReportRollouts() const;
  std::vector<net::RolloutWaits> ReportWaits() const;
  RequestTurns MakeTurns(const node::LeaseUpdate& news) const;
  GatewayViewPtr View() const;
  void AwaitLease(TimePoint until);
  /// When every request must have its answer; absent while this process is not stopping.
  std::optional<TimePoint> AnswerBy() const;
  CallerLimits Limits() const;
  bool IsReady() const;
  /// The team whose key a request has; empty for an unknown or missing key.
  std::string TeamOf(const net::RequestHead& head) const;
  void Serve(const Poco::Net::StreamSocket& socket);
  /// Handles one request; one that fails by an exception is answered, too.
  void Handle(const net::RequestHead& head, const std::string& body, CallerStream& caller,
              TimePoint arrived_at);
  /// Logs and counts the requests that the end of this process cuts off.
  void RecordCutRequests();
  std::string MetricsText() const;
  /// Writes how late the answers of services begin that have urgent requests beside patient ones.
  void WriteUrgency(MetricsWriter& writer) const;
  net::HttpAnswer AnswerStatus(const net::HttpRequest& request) const;

  GatewayOptions options;
  EdgeProtocol protocol;
  SystemClock clock;
  UpstreamPool pool;
  RetryBudgets budgets;
  BufferBudget buffers;
  /// The callers' connections whose requests have not come whole.
  net::PendingReads reads;
  routing::EvidenceTable evidence;
  PromptGuard prompts;
  GatewayMetrics metrics;
  DemandMeter demand;
  ActiveCalls active;
  StreamPace pace;
  AnswerLateness lateness;
  PatienceGate patience;
  ModelConfidence model_confidence;
  CallContext call_context;
  TimePoint started_at;
  mutable std::mutex view_mutex;
  std::condition_variable view_changed;
  GatewayViewPtr view;
  std::atomic<std::int64_t> last_apply_ms = 0;
  std::atomic<TimePoint> stop_begun_at = TimePoint();
  std::atomic<StopPhase> phase = StopPhase::kServing;
  std::shared_ptr<node::ControlLink> link;
  std::unique_ptr<node::LeaseClient> leases;
  std::unique_ptr<UpstreamListUpdater> list_updater;
  std::unique_ptr<LoadExchange> load_exchange;
  std::unique_ptr<net::HttpServer> status_server;
  std::mutex stop_mutex;
  bool stopped = false;
  std::unique_ptr<net::ConnectionAcceptor> acceptor;
};

Result<void> GatewayServer::State::Start(UpstreamListReader read_list) {
  const net::Credentials credentials{{net::NodeRole::kEntry, this->options.node,
                                      IncarnationId(SecureRandomHex(kIncarnationBytes))},
                                     this->options.shared_secret};
  this->link =
      std::make_shared<node::ControlLink>(this->options.control_addresses, credentials,
                                          net::ChannelLimits{.connect_timeout = kConnectTimeout});
  this->list_updater = std::make_unique<UpstreamListUpdater>(
      std::move(read_list), this->pool, this->options.list_interval, [this] {
        const GatewayViewPtr current = this->View();
        return current != nullptr && current->HasLease(this->clock.Now());
      });
  node::LeaseClient::Options extras;
  extras.renew_interval = this->options.renew_interval;
  extras.report_rollouts = [this] { return this->ReportRollouts(); };
  extras.make_report = [this] {
    net::EntryReport report;
    report.demand = this->demand.Read(this->metrics.received, this->clock.Now());
    report.prompts = this->prompts.Report(this->clock.Now());
    report.waits = this->ReportWaits();
    return report;
  };
  extras.load_address = this->options.load_address;
  extras.on_list = [this](const std::string& bytes, Duration age) {
    this->list_updater->OnSharedList(bytes, age);
  };
  this->leases = std::make_unique<node::LeaseClient>(
      this->link, credentials.self, this->options.advertised_address,
      [this](const config::ConfigurationPtr& configuration, const node::LeaseUpdate& news) {
        this->pool.SetEntryPosition({news.entry_rank, news.entry_count});
        this->pool.SetRequestTurns(this->MakeTurns(news));
        this->prompts.OnLease(BlockedParts(*configuration), news.report_reply.suspect_parts,
                              this->clock.Now());
        return this->OnLease(configuration, news.valid_until);
      },
      std::move(extras));
  if (!this->options.load_address.empty()) {
    BOOST_LEAF_ASSIGN(
        this->load_exchange,
        LoadExchange::Start({.node = this->options.node,
                             .address = this->options.load_address,
                             .shared_secret = this->options.shared_secret},
                            this->pool, [this] { return this->leases->LoadAddresses(); }));
  }
  return this->StartServers();
}

Result<void> GatewayServer::State::StartServers() {
  BOOST_LEAF_ASSIGN(
      this->acceptor,
      net::ConnectionAcceptor::Start(
          {.address = this->options.caller_address,
           .max_connections = this->options.max_connections,
           .max_waiting = this->options.max_waiting_connections,
           .thread_stack_bytes = kThreadStackBytes,
           .on_full = [this] { this->reads.GiveUpOldest(this->clock.Now()); }},
          [this](const Poco::Net::StreamSocket& accepted) { this->Serve(accepted); }));
  BOOST_LEAF_ASSIGN(this->status_server,
                    net::HttpServer::Start(
                        {.address = this->options.status_address,
                         .max_connections = kStatusConnections,
                         .max_queued_connections = kStatusConnections,
                         .max_head_bytes = kMaxStatusHeadBytes,
                         .max_body_bytes = 0,
                         .max_buffered_bytes = kMaxStatusBytes,
                         .min_read_time = kMinStatusReadTime},
                        [this](const net::HttpRequest& request, net::HttpResponder& responder) {
                          responder.SendWhole(this->AnswerStatus(request));
                        }));
  return {};
}

/// Puts a configuration in force: decodes its declaration if its revision is new, and passes the
/// rules to the pool. Requests are handled under the former one meanwhile, as long as its own lease
/// lasts. Returns false where the configuration cannot be put in force.
bool GatewayServer::State::OnLease(const config::ConfigurationPtr& configuration,
                                   TimePoint valid_until) {
  const GatewayViewPtr current = this->View();
  if (current != nullptr && current->configuration == configuration) {
    this->SetView(configuration, current->table, valid_until);
    return true;
  }
  const config::Declaration& declaration = configuration->declaration;
  if (declaration.revision == 0) {
    return true;
  }
  const TimePoint begin = this->clock.Now();
  const RouteTablePtr table = this->DecodeTable(declaration, current);
  if (table == nullptr) {
    return false;
  }
  PoolRules rules{table, {}, configuration->service_rollouts};
  for (const auto& [domain, setting] : configuration->failure_domains) {
    if (setting.state == config::DomainState::kOut) {
      rules.closed_domains.insert(domain);
    }
  }
  this->ForgetOldEvidence(*configuration);
  this->pool.SetRules(std::move(rules));
  this->SetView(configuration, table, valid_until);
  const TimePoint now = this->clock.Now();
  this->last_apply_ms = duration_cast<milliseconds>(now - begin).count();
  kLog.Info(
      "Declaration in force.",
      {{"number", configuration->number},
       {"revision", table->revision},
       {"routes", table->routes.size()},
       {"bytes", declaration.text.Value().size()},
       {"apply_ms", this->last_apply_ms.load()},
       {"former_lease_left_ms",
        current == nullptr ? 0 : duration_cast<milliseconds>(current->valid_until - now).count()}});
  this->view_changed.notify_all();
  return true;
}

/// The table of a declaration: the one in force where its revision is the same, null where it
/// cannot be read.
RouteTablePtr GatewayServer::State::DecodeTable(const config::Declaration& declaration,
                                                const GatewayViewPtr& current) const {
  if (current != nullptr && current->table->revision == declaration.revision) {
    return current->table;
  }
  return HandleErrors(
      [&]() -> Result<RouteTablePtr> {
        BOOST_LEAF_AUTO(decoded, this->protocol.read_declaration(declaration.text.Value()));
        return std::make_shared<const RouteTable>(std::move(decoded));
      },
      [&](const Error& error) {
        kLog.Error("Cannot read a new declaration; its lease is not taken.",
                   {{"revision", declaration.revision}, {"cause", error.message}});
        return RouteTablePtr();
      });
}

void GatewayServer::State::SetView(const config::ConfigurationPtr& configuration,
                                   const RouteTablePtr& table, TimePoint valid_until) {
  const std::scoped_lock lock(this->view_mutex);
  this->view = std::make_shared<const GatewayView>(GatewayView{configuration, table, valid_until});
}

/// Waits for the first configuration, which comes with the first lease, or for a stop.
void GatewayServer::State::AwaitLease(TimePoint until) {
  std::unique_lock lock(this->view_mutex);
  const TimePoint expected_by = this->started_at + this->options.first_lease_within;
  this->view_changed.wait_until(lock, std::min(until, expected_by), [this] {
    return this->view != nullptr || this->phase != StopPhase::kServing;
  });
}

/// Discards the evidence on services whose roll-out is new: evidence counts from the time at which
/// the roll-out was ordered.
void GatewayServer::State::ForgetOldEvidence(const config::Configuration& next) {
  const GatewayViewPtr current = this->View();
  for (const auto& [service, rollout] : next.service_rollouts) {
    const bool known =
        current != nullptr && current->configuration->service_rollouts.contains(service) &&
        current->configuration->service_rollouts.at(service).ordered_at == rollout.ordered_at;
    if (!known) {
      this->evidence.ResetModel(ModelId(service.Value()));
    }
  }
}

std::vector<net::RolloutReport> GatewayServer::State::ReportRollouts() const {
  std::vector<net::RolloutReport> reports;
  const GatewayViewPtr current = this->View();
  if (current == nullptr) {
    return reports;
  }
  for (const auto& [service, rollout] : current->configuration->service_rollouts) {
    if (rollout.state == config::ServiceRolloutState::kRunning) {
      const ModelVersion target{ModelId(service.Value()), rollout.target};
      reports.push_back({service, rollout.target, this->evidence.Read(target, this->clock.Now()),
                         this->evidence.ReadOtherVersions(target, this->clock.Now())});
    }
  }
  return reports;
}

std::vector<net::RolloutWaits> GatewayServer::State::ReportWaits() const {
  std::vector<net::RolloutWaits> waits;
  for (net::RolloutReport& report : this->ReportRollouts()) {
    waits.push_back({report.service, report.target, std::move(report.candidate.waits),
                     std::move(report.baseline.waits)});
  }
  return waits;
}

/// The entries that hold leases share the limits of upstreams, weighted by their demands.
RequestTurns GatewayServer::State::MakeTurns(const node::LeaseUpdate& news) const {
  std::map<std::string, std::uint32_t> demands;
  for (const net::EntryDemand& entry : news.report_reply.demands) {
    demands[entry.load_address] = entry.demand;
  }
  std::vector<EntryShare> entries;
  for (const std::string& address : news.load_addresses) {
    entries.push_back({address, demands[address]});
  }
  return {this->options.load_address, std::move(entries)};
}

GatewayViewPtr GatewayServer::State::View() const {
  const std::scoped_lock lock(this->view_mutex);
  return this->view;
}

std::optional<TimePoint> GatewayServer::State::AnswerBy() const {
  if (this->phase == StopPhase::kServing) {
    return std::nullopt;
  }
  return this->stop_begun_at.load() + this->options.stop_within -
         Duration(this->options.call.stop_margin);
}

CallerLimits GatewayServer::State::Limits() const {
  const GatewayViewPtr current = this->View();
  return current == nullptr ? CallerLimits{} : current->table->limits;
}

bool GatewayServer::State::IsReady() const {
  const GatewayViewPtr current = this->View();
  return this->phase == StopPhase::kServing && current != nullptr && this->pool.HasList() &&
         current->HasLease(this->clock.Now());
}

std::string GatewayServer::State::TeamOf(const net::RequestHead& head) const {
  const GatewayViewPtr current = this->View();
  const KeyOwner* owner =
      current == nullptr ? nullptr : current->table->FindKey(this->protocol.read_call(head).key);
  return owner == nullptr ? "" : owner->team.Value();
}

void GatewayServer::State::Serve(const Poco::Net::StreamSocket& socket) {
  const CountedWhile counted(this->metrics.connections);
  try {
    CallerConnection connection(
        net::SocketStream(socket), [this] { return this->Limits(); },
        [this] { return this->phase.load(); }, [this] { return this->AnswerBy(); },
        {this->buffers, this->reads,
         [this](const net::RequestHead& head) { return this->TeamOf(head); },
         this->options.call.retry_after},
        [this](const net::RequestHead& head, const std::string& body, CallerStream& caller,
               TimePoint arrived_at) { this->Handle(head, body, caller, arrived_at); });
    connection.Run();
  } catch (const std::exception& exception) {
    kLog.Error("A caller's connection ended by an exception.", {{"cause", exception.what()}});
  }
}

void GatewayServer::State::Handle(const net::RequestHead& head, const std::string& body,
                                  CallerStream& caller, TimePoint arrived_at) {
  constexpr int kInternalError = 500;
  const CountedWhile counted(this->metrics.in_flight);
  try {
    CallRunner(this->call_context, head, body, caller, arrived_at).Run();
  } catch (const std::exception& exception) {
    kLog.Error("A request failed by an exception. Report this bug.",
               {{"target", head.target}, {"cause", exception.what()}});
    this->metrics.refusals.Add(RefusalKind::kInternal);
    if (caller.Begun()) {
      caller.Abort();
      return;
    }
    caller.SendWhole(kInternalError, {{"Content-Type", "text/plain"}},
                     "The request failed by an error of this node.",
                     this->clock.Now() + kFinalAnswerGrace);
  }
}

void GatewayServer::State::RecordCutRequests() {
  const TimePoint now = this->clock.Now();
  for (const ActiveCall& call : this->active.List()) {
    this->metrics.cut.Add(this->phase.load());
    kLog.Warning(
        "A request is cut off by the end of this process.",
        {{"request", call.request},
         {"route", call.route},
         {"stage", ToString(call.stage)},
         {"age_ms", duration_cast<milliseconds>(now - call.arrived_at).count()},
         {"stop_age_ms", duration_cast<milliseconds>(now - this->stop_begun_at.load()).count()},
         {"stop_left_at_arrival_ms",
          call.stop_left ? duration_cast<milliseconds>(*call.stop_left).count() : -1},
         {"stop_phase", ToString(this->phase.load())}});
  }
}

void GatewayServer::State::WriteUrgency(MetricsWriter& writer) const {
  writer.Header("masticrill_gateway_lateness",
                "Mean time to the start of an answer, as a share of the urgent requests' target.",
                "gauge");
  if (const GatewayViewPtr current = this->View(); current != nullptr) {
    for (const auto& [id, service] : current->table->services) {
      if (service.urgent) {
        writer.Labelled("masticrill_gateway_lateness", "service", id.Value(),
                        this->lateness.Read(id, this->clock.Now()));
      }
    }
  }
  writer.Counter("masticrill_gateway_held_back_total",
                 "Patient requests that were held back while answers began late.",
                 this->patience.HeldBackCount());
}

std::string GatewayServer::State::MetricsText() const {
  const GatewayViewPtr current = this->View();
  MetricsWriter writer;
  writer.Gauge("masticrill_gateway_lease_valid", "1 while this node holds a valid lease.",
               current != nullptr && current->HasLease(this->clock.Now()) ? 1 : 0);
  writer.Gauge("masticrill_gateway_configuration_number",
               "The number of the configuration in force.",
               current == nullptr ? 0 : static_cast<double>(current->configuration->number));
  writer.Gauge("masticrill_gateway_declaration_revision",
               "The revision of the declaration in force.",
               current == nullptr ? 0 : static_cast<double>(current->table->revision));
  writer.Gauge("masticrill_gateway_lease_left_seconds",
               "Time until this node stops taking requests unless its lease is renewed.",
               current == nullptr ? 0 : LeaseLeftSeconds(*current, this->clock.Now()));
  writer.Gauge("masticrill_gateway_declaration_apply_seconds",
               "Time that the last declaration took from its receipt until it was in force.",
               static_cast<double>(this->last_apply_ms.load()) / kMsPerSecond);
  writer.Gauge("masticrill_gateway_upstreams",
               "Upstreams that are listed or have requests in flight.",
               static_cast<double>(this->pool.UpstreamCount()));
  writer.Gauge("masticrill_gateway_limited_upstreams",
               "Upstreams that state how many requests a second they take from all entries.",
               static_cast<double>(this->pool.LimitedCount()));
  writer.Gauge("masticrill_gateway_leaving_upstreams",
               "Listed upstreams that have told this node that they are leaving.",
               static_cast<double>(this->pool.LeavingCount()));
  writer.Gauge("masticrill_gateway_paused_upstreams",
               "Upstreams that have asked this node for a pause which has not ended.",
               static_cast<double>(this->pool.PausedCount(this->clock.Now())));
  this->WriteUrgency(writer);
  writer.Gauge("masticrill_gateway_blocked_prompt_parts",
               "Parts of prompts with which requests are refused.",
               static_cast<double>(this->prompts.BlockedCount(this->clock.Now())));
  WriteBuffers(writer, this->buffers);
  writer.Counter("masticrill_gateway_reads_given_up_total",
                 "Connections without a whole request that were given up for lack of room.",
                 this->reads.GivenUpCount());
  writer.Counter("masticrill_log_lines_dropped_total",
                 "Log lines that were dropped because their reader was too slow.",
                 DroppedLogLines());
  net::WriteTraffic(writer, net::Sent());
  return this->metrics.Text() + writer.Text();
}

net::HttpAnswer GatewayServer::State::AnswerStatus(const net::HttpRequest& request) const {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  if (request.path == this->protocol.ready_path || request.path == "/readyz") {
    return this->IsReady() ? net::HttpAnswer{kOk, {}, "ready\n"}
                           : net::HttpAnswer{kUnavailable, {}, "not ready\n"};
  }
  if (request.path == "/metrics") {
    return {kOk, {{"Content-Type", "text/plain; charset=utf-8"}}, this->MetricsText()};
  }
  return {kNotFound, {}, "Unknown path. Use /readyz or /metrics.\n"};
}

GatewayServer::GatewayServer(std::unique_ptr<State> state) : state(std::move(state)) {}

GatewayServer::~GatewayServer() { this->Stop(); }

Result<std::unique_ptr<GatewayServer>> GatewayServer::Start(const GatewayOptions& options,
                                                            EdgeProtocol protocol,
                                                            UpstreamListReader read_list) {
  std::unique_ptr<GatewayServer> gateway(
      new GatewayServer(std::make_unique<State>(options, std::move(protocol))));
  BOOST_LEAF_CHECK(gateway->state->Start(std::move(read_list)));
  kLog.Info("The gateway has started.", {{"node", options.node},
                                         {"callers", gateway->CallerAddress()},
                                         {"status", gateway->StatusAddress()}});
  return gateway;
}

std::string GatewayServer::CallerAddress() const { return this->state->acceptor->Address(); }

std::string GatewayServer::StatusAddress() const { return this->state->status_server->Address(); }

bool GatewayServer::IsReady() const { return this->state->IsReady(); }

void GatewayServer::AddControlHosts(const std::vector<std::string>& addresses) {
  this->state->link->Add(addresses);
}

void GatewayServer::Stop() {
  const std::scoped_lock lock(this->state->stop_mutex);
  if (std::exchange(this->state->stopped, true)) {
    return;
  }
  State& server_state = *this->state;
  kLog.Info("The gateway is stopping.", {{"in_flight", server_state.metrics.in_flight.load()}});
  const TimePoint begin = server_state.clock.Now();
  server_state.stop_begun_at = begin;
  {
    const std::scoped_lock view_lock(server_state.view_mutex);
    server_state.phase = StopPhase::kStopping;
  }
  server_state.view_changed.notify_all();
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock wait(mutex);
  if (server_state.acceptor != nullptr) {
    // The load balancer knows a node that has had no configuration yet as not ready.
    if (server_state.View() != nullptr) {
      never.wait_for(wait, std::min(server_state.options.stop_accepting_after,
                                    server_state.options.stop_within / 2));
    }
    server_state.acceptor->StopAccepting();
    server_state.phase = StopPhase::kClosing;
    server_state.acceptor->AwaitEnd(begin + server_state.options.stop_within);
  }
  server_state.phase = StopPhase::kClosing;
  // Before the parts end, which may wait for answers longer than the process lasts.
  server_state.RecordCutRequests();
  if (server_state.load_exchange != nullptr) {
    server_state.load_exchange->Stop();
  }
  if (server_state.list_updater != nullptr) {
    server_state.list_updater->Stop();
  }
  if (server_state.leases != nullptr) {
    server_state.leases->Stop();
  }
  kLog.Info("The gateway has stopped.", {{"in_flight", server_state.metrics.in_flight.load()},
                                         {"connections", server_state.metrics.connections.load()}});
}

}  // namespace masticrill::gateway
