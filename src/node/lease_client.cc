#include "masticrill/node/lease_client.h"

#include <algorithm>

#include "masticrill/common/log.h"
#include "masticrill/config/document.h"

namespace masticrill::node {
namespace {

constexpr Logger kLog(LogPart::kNet);
constexpr milliseconds kCallTimeout{800};
/// Interval after a refusal or a failure; shorter than the renewal interval.
constexpr milliseconds kRetryInterval{100};
/// Least time between two requests.
constexpr milliseconds kMinInterval{100};

std::size_t SizeOf(const config::ConfigurationDelta& delta) {
  std::size_t bytes = delta.full_document.size();
  for (const std::string& patch : delta.patches) {
    bytes += patch.size();
  }
  return bytes;
}

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
    this->Renew();
    lock.lock();
    const Duration pause =
        this->was_granted ? this->options.renew_interval : Duration(kRetryInterval);
    const Duration least = std::min(pause, Duration(kMinInterval));
    this->stopping.wait_for(lock, least, [this] { return this->stopped; });
    this->stopping.wait_for(lock, pause - least,
                            [this] { return this->stopped || this->renew_soon; });
  }
}

void LeaseClient::Renew() {
  net::LeaseRequest request{this->self.node,
                            this->self.role,
                            this->self.incarnation,
                            0,
                            this->address,
                            this->started_at_ms,
                            {}};
  request.load_address = this->options.load_address;
  request.known_list_version = this->list_version;
  if (this->options.report_rollouts) {
    request.rollouts = this->options.report_rollouts();
  }
  config::LeaseRequestId request_id = 0;
  {
    const std::lock_guard lock(this->mutex);
    request.known_number = this->document.number;
    this->asked_at = this->clock.Now();
    request_id = this->holder.OnRequestSent(this->asked_at);
  }
  const bool granted = HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(reply, this->link->Call<net::LeaseReply>(request, kCallTimeout));
        return this->ApplyReply(reply, request_id);
      },
      [&](const Error& error) {
        this->LogRefusal(error.message);
        return false;
      });
  const std::lock_guard lock(this->mutex);
  this->was_granted = granted;
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

bool LeaseClient::ApplyReply(const net::LeaseReply& reply, config::LeaseRequestId request) {
  if (!reply.granted) {
    this->LogRefusal(reply.message);
    this->link->FailOver(this->link->Current());
    return false;
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
  config::ConfigurationPtr received;
  if (reply.delta) {
    const bool applied = HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(next, config::ApplyDelta(this->document, *reply.delta));
          BOOST_LEAF_AUTO(parsed, config::ParseDocument(next.document, next.number));
          this->document = next;
          received = std::make_shared<const config::Configuration>(std::move(parsed));
          return true;
        },
        [&](const Error& error) {
          kLog.Warning("The received configuration was rejected; requesting the whole document.",
                       {{"reason", error.message}});
          // The next request fetches the whole document.
          this->document = {};
          return false;
        });
    if (!applied) {
      return false;
    }
  }
  config::JudgedGrant judged;
  {
    const std::lock_guard lock(this->mutex);
    const config::LeaseGrant grant{reply.number, milliseconds(reply.length_ms)};
    judged = this->holder.Judge(request, grant, received);
  }
  if (judged.verdict != config::GrantVerdict::kTaken) {
    return false;
  }
  const LeaseUpdate update{judged.lease.valid_until, std::max<std::uint32_t>(reply.entry_count, 1),
                           this->RankOfThisEntry(reply.load_addresses), reply.load_addresses,
                           this->report_reply};
  if (!this->on_lease(judged.lease.configuration, update)) {
    return false;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->holder.Take(judged.lease);
  }
  if (received != nullptr) {
    kLog.Info(
        "Configuration in force.",
        {{"number", received->number},
         {"revision", received->declaration.revision},
         {"received_bytes", SizeOf(*reply.delta)},
         {"took_ms", duration_cast<milliseconds>(this->clock.Now() - this->asked_at).count()}});
  }
  this->SendReport();
  return true;
}

}  // namespace masticrill::node
