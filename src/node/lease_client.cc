#include "masticrill/node/lease_client.h"

#include <algorithm>

#include "masticrill/common/log.h"

namespace masticrill::node {
namespace {

constexpr Logger kLog(LogPart::kNet);
constexpr milliseconds kCallTimeout{800};
/// Interval after a refusal or a failure; shorter than the renewal interval.
constexpr milliseconds kRetryInterval{100};
/// How long a control host that does not know RenewRequest is asked by LeaseRequest.
constexpr Duration kOlderHostTime = seconds(60);
/// Least time between two requests.
constexpr milliseconds kMinInterval{100};

}  // namespace

LeaseClient::LeaseClient(std::shared_ptr<ControlLink> link, net::Identity self, std::string address,
                         LeaseHandler on_lease)
    : LeaseClient(std::move(link), std::move(self), std::move(address), std::move(on_lease),
                  Options{}) {}

LeaseClient::LeaseClient(std::shared_ptr<ControlLink> link, net::Identity self, std::string address,
                         LeaseHandler on_lease, Options options)
    : link(std::move(link)),
      self(std::move(self)),
      address(std::move(address)),
      on_lease(std::move(on_lease)),
      options(std::move(options)),
      started_at_ms(static_cast<std::uint64_t>(this->clock.WallNow())) {
  this->thread = std::thread([this] { this->Run(); });
}

LeaseClient::~LeaseClient() { this->Stop(); }

void LeaseClient::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->stopping.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void LeaseClient::RenewSoon() {
  {
    const std::lock_guard lock(this->mutex);
    this->renew_soon = true;
  }
  this->stopping.notify_all();
}

config::LeaseCheck LeaseClient::Check(TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  return this->holder.Check(now);
}

config::ConfigurationPtr LeaseClient::Configuration() const {
  const std::lock_guard lock(this->mutex);
  return this->holder.Current();
}

std::vector<std::string> LeaseClient::LoadAddresses() const {
  const std::lock_guard lock(this->mutex);
  return this->load_addresses;
}

void LeaseClient::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopped) {
    this->renew_soon = false;
    lock.unlock();
    const NextRequest next = this->Renew();
    lock.lock();
    if (next == NextRequest::kAtOnce) {
      continue;
    }
    const Duration pause =
        next == NextRequest::kAtInterval ? this->options.renew_interval : Duration(kRetryInterval);
    const Duration least = std::min(pause, Duration(kMinInterval));
    this->stopping.wait_for(lock, least, [this] { return this->stopped; });
    this->stopping.wait_for(lock, pause - least,
                            [this] { return this->stopped || this->renew_soon; });
  }
}

LeaseClient::NextRequest LeaseClient::Renew() {
  net::RenewRequest request;
  request.lease = {this->self.node,
                   this->self.role,
                   this->self.incarnation,
                   0,
                   this->address,
                   this->started_at_ms,
                   {}};
  request.lease.load_address = this->options.load_address;
  request.lease.known_list_version = this->list_version;
  if (this->options.report_rollouts) {
    request.lease.rollouts = this->options.report_rollouts();
  }
  this->receiver.Describe(request);
  const TimePoint sent_at = this->clock.Now();
  config::LeaseRequestId request_id = 0;
  {
    const std::lock_guard lock(this->mutex);
    request_id = this->holder.OnRequestSent(sent_at);
  }
  return HandleErrors(
      [&]() -> Result<NextRequest> {
        BOOST_LEAF_AUTO(reply, this->Ask(request));
        return this->ApplyReply(reply, request_id, sent_at);
      },
      [&](const Error& error) {
        this->LogRefusal(error.message);
        return NextRequest::kSoon;
      });
}

/// Asks the current control host, and a host of an earlier program in the way that it knows.
Result<net::RenewReply> LeaseClient::Ask(const net::RenewRequest& request) {
  const std::shared_ptr<net::RpcClient> host = this->link->Current();
  if (this->older_host.lock() != host || this->clock.Now() >= this->older_host_until) {
    std::optional<Error> failure;
    std::optional<net::RenewReply> reply = HandleErrors(
        [&]() -> Result<std::optional<net::RenewReply>> {
          BOOST_LEAF_AUTO(renewed, host->Call<net::RenewReply>(request, kCallTimeout));
          return std::optional(std::move(renewed));
        },
        [&](const Error& error) {
          failure = error;
          return std::optional<net::RenewReply>();
        });
    if (reply) {
      return *std::move(reply);
    }
    if (failure->kind != ErrorKind::kMalformedMessage) {
      this->link->FailOver(host);
      return Fail(*failure);
    }
    this->older_host = host;
    this->older_host_until = this->clock.Now() + kOlderHostTime;
  }
  BOOST_LEAF_AUTO(lease, this->link->Call<net::LeaseReply>(request.lease, kCallTimeout));
  net::RenewReply reply{std::move(lease)};
  reply.text_digest = reply.lease.delta ? std::string() : request.text_digest;
  return reply;
}

/// Logs the reason of a refusal when it differs from the last one, so that retries are not logged.
void LeaseClient::LogRefusal(const std::string& reason) {
  if (this->last_refusal != reason) {
    kLog.Warning("No lease.", {{"reason", reason}});
    this->last_refusal = reason;
  }
}

/// Position of this entry's load address in the sorted list; consistent among all entries that
/// receive the same list.
std::uint32_t LeaseClient::RankOfThisEntry(std::vector<std::string> addresses) const {
  std::sort(addresses.begin(), addresses.end());
  const auto place =
      std::lower_bound(addresses.begin(), addresses.end(), this->options.load_address);
  return static_cast<std::uint32_t>(place - addresses.begin());
}

/// Sends the report beside the lease request. A control host that does not take it is no reason to
/// turn to another one: leases come from it all the same.
void LeaseClient::SendReport() {
  if (!this->options.make_report) {
    return;
  }
  net::EntryReport report = this->options.make_report();
  report.node = this->self.node;
  report.incarnation = this->self.incarnation;
  report.load_address = this->options.load_address;
  net::EntryReportReply reply = HandleErrors(
      [&] { return this->link->Current()->Call<net::EntryReportReply>(report, kCallTimeout); },
      [](const Error&) { return net::EntryReportReply{}; });
  // Other parts to answer for are answered for at once.
  if (reply.suspect_parts != this->report_reply.suspect_parts) {
    this->RenewSoon();
  }
  this->report_reply = std::move(reply);
}

LeaseClient::NextRequest LeaseClient::ApplyReply(const net::RenewReply& renewed,
                                                 config::LeaseRequestId request,
                                                 TimePoint sent_at) {
  const net::LeaseReply& reply = renewed.lease;
  if (!reply.granted) {
    this->LogRefusal(reply.message);
    this->link->FailOver(this->link->Current());
    return NextRequest::kSoon;
  }
  if (!this->last_refusal.empty()) {
    kLog.Info("Leases are granted again.", {{"number", reply.number}});
    this->last_refusal.clear();
  }
  {
    const std::lock_guard lock(this->mutex);
    this->load_addresses = reply.load_addresses;
  }
  this->link->Add(reply.control_hosts);
  if (this->options.on_list && reply.list.version != 0) {
    this->list_version = reply.list.version;
    this->options.on_list(reply.list.bytes, milliseconds(reply.list.age_ms));
  }
  if (reply.delta && !this->change_begun_at) {
    this->change_begun_at = sent_at;
    this->before_change = this->receiver.Stats();
  }
  return HandleErrors(
      [&]() -> Result<NextRequest> {
        BOOST_LEAF_AUTO(received, this->receiver.Take(renewed));
        if (!received.complete) {
          return renewed.piece.bytes.empty() ? NextRequest::kSoon : NextRequest::kAtOnce;
        }
        return this->TakeGrant(reply, request, received.configuration);
      },
      [&](const Error& error) {
        kLog.Warning("The received configuration was rejected; requesting the whole document.",
                     {{"reason", error.message}});
        return NextRequest::kSoon;
      });
}

/// Puts the configuration of a grant in force, and takes the lease that covers it after that.
LeaseClient::NextRequest LeaseClient::TakeGrant(const net::LeaseReply& reply,
                                                config::LeaseRequestId request,
                                                const config::ConfigurationPtr& received) {
  config::JudgedGrant judged;
  {
    const std::lock_guard lock(this->mutex);
    const config::LeaseGrant grant{reply.number, milliseconds(reply.length_ms)};
    judged = this->holder.Judge(request, grant, received);
  }
  if (judged.verdict != config::GrantVerdict::kTaken) {
    return NextRequest::kSoon;
  }
  const LeaseUpdate update{judged.lease.valid_until, std::max<std::uint32_t>(reply.entry_count, 1),
                           this->RankOfThisEntry(reply.load_addresses), reply.load_addresses,
                           this->report_reply};
  if (!this->on_lease(judged.lease.configuration, update)) {
    return NextRequest::kSoon;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->holder.Take(judged.lease);
  }
  if (received != nullptr) {
    this->LogChange(*received);
  }
  this->SendReport();
  return NextRequest::kAtInterval;
}

void LeaseClient::LogChange(const config::Configuration& configuration) {
  const TransferStats& stats = this->receiver.Stats();
  const Duration took = this->clock.Now() - this->change_begun_at.value_or(this->clock.Now());
  kLog.Info("Configuration in force.",
            {{"number", configuration.number},
             {"revision", configuration.declaration.revision},
             {"received_bytes", stats.received_bytes - this->before_change.received_bytes},
             {"replies", stats.replies - this->before_change.replies},
             {"restarts", stats.restarts - this->before_change.restarts},
             {"took_ms", duration_cast<milliseconds>(took).count()}});
  this->change_begun_at.reset();
}

}  // namespace masticrill::node
