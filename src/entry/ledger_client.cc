#include "entry/ledger_client.h"

#include "masticrill/common/log.h"

namespace masticrill::entry {
namespace {

constexpr Logger kLog(LogPart::kEntry);
constexpr milliseconds kReportInterval{200};
constexpr seconds kCommitTimeout{2};
constexpr std::size_t kMaxOutcomesInReport = 512;
/// Outcomes beyond this are dropped from the log while the control hosts are away; the totals then
/// show the requests as open, and as failed once this process has ended.
constexpr std::size_t kMaxHeldOutcomes = 200'000;

}  // namespace

LedgerClient::LedgerClient(node::CommandSender& sender, const net::Identity& self)
    : sender(sender), self(self) {
  this->thread = std::thread([this] { this->Run(); });
}

LedgerClient::~LedgerClient() { this->Stop(Duration(0)); }

void LedgerClient::CountReceived(const state::TeamClass& team_class) {
  const std::lock_guard lock(this->mutex);
  ++this->received[team_class];
  ++this->open[team_class];
  this->received_changed = true;
}

void LedgerClient::CountEnded(const state::Outcome& outcome) {
  const std::lock_guard lock(this->mutex);
  if (this->ended.size() >= kMaxHeldOutcomes) {
    return;
  }
  --this->open[{outcome.team, outcome.request_class}];
  this->ended.push_back(outcome);
}

bool LedgerClient::Charge(const state::ChargeLine& line, Duration timeout) {
  if (this->CommitCharge(line, timeout)) {
    return true;
  }
  const std::lock_guard lock(this->mutex);
  this->held_charges.push_back(line);
  return false;
}

std::size_t LedgerClient::HeldCharges() const {
  const std::lock_guard lock(this->mutex);
  return this->held_charges.size();
}

bool LedgerClient::CommitCharge(const state::ChargeLine& line, Duration timeout) {
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(result,
                        this->sender.Commit(state::Charge{line, this->clock.WallNow()}, timeout));
        const auto* charged = std::get_if<state::ChargeResult>(&result);
        return charged != nullptr && charged->status != state::ChargeStatus::kFull;
      },
      [](const Error&) { return false; });
}

bool LedgerClient::Settled() const {
  const std::lock_guard lock(this->mutex);
  return this->held_charges.empty() && this->ended.empty() && !this->unanswered &&
         !this->received_changed;
}

void LedgerClient::Stop(Duration limit) {
  const TimePoint end = this->clock.Now() + limit;
  {
    std::unique_lock lock(this->mutex);
    if (this->stopped) {
      return;
    }
    while (this->clock.Now() < end) {
      lock.unlock();
      const bool settled = this->Settled();
      lock.lock();
      if (settled) {
        break;
      }
      this->changed.wait_for(lock, kReportInterval / 4);
    }
    this->stopped = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

void LedgerClient::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopped) {
    lock.unlock();
    const bool more = this->SendReport() && this->SendHeldCharges();
    lock.lock();
    if (!more) {
      this->changed.wait_for(lock, kReportInterval, [this] { return this->stopped; });
    }
  }
}

state::RecordOutcomes LedgerClient::MakeReport() {
  state::RecordOutcomes report;
  report.entry = this->self.node;
  report.incarnation =
      IncarnationId(this->self.incarnation.Value() + "." + std::to_string(this->stream));
  report.report = this->next_report;
  report.at = this->clock.WallNow();
  for (const auto& [team_class, count] : this->received) {
    report.received.push_back({team_class, count});
  }
  while (!this->ended.empty() && report.outcomes.size() < kMaxOutcomesInReport) {
    report.outcomes.push_back(std::move(this->ended.front()));
    this->ended.pop_front();
  }
  this->received_changed = false;
  return report;
}

/// The control hosts closed the stream, having taken this entry for lost: what was open there is
/// recorded as failed. Requests that are still open here go into the new stream.
void LedgerClient::StartNewStream() {
  kLog.Warning("The report stream was closed. A new one begins.");
  ++this->stream;
  this->next_report = 1;
  this->received = this->open;
  for (const state::Outcome& outcome : this->ended) {
    ++this->received[{outcome.team, outcome.request_class}];
  }
  this->received_changed = true;
}

/// Returns whether a report was recorded, so that more may wait.
bool LedgerClient::SendReport() {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->unanswered && (this->received_changed || !this->ended.empty())) {
      this->unanswered = this->MakeReport();
    }
    if (!this->unanswered) {
      return false;
    }
  }
  const std::optional<state::ReportResult> result = HandleErrors(
      [&]() -> Result<std::optional<state::ReportResult>> {
        BOOST_LEAF_AUTO(committed, this->sender.Commit(*this->unanswered, kCommitTimeout));
        const auto* report = std::get_if<state::ReportResult>(&committed);
        return report == nullptr ? std::nullopt : std::optional(*report);
      },
      [](const Error&) { return std::optional<state::ReportResult>(); });
  if (!result) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  switch (result->status) {
    case state::ReportStatus::kRecorded:
    case state::ReportStatus::kRepeated:
      this->next_report = this->unanswered->report + 1;
      this->unanswered.reset();
      return !this->ended.empty();
    case state::ReportStatus::kClosed:
      this->unanswered.reset();
      this->StartNewStream();
      return true;
    case state::ReportStatus::kGap:
    case state::ReportStatus::kInconsistent:
    case state::ReportStatus::kTooLarge:
      kLog.Error("A report of outcomes was refused.", {{"report", this->unanswered->report},
                                                       {"status", static_cast<int>(result->status)},
                                                       {"next", result->next_report}});
      this->unanswered.reset();
      this->StartNewStream();
      return true;
    case state::ReportStatus::kFull:
      return false;
  }
  return false;
}

bool LedgerClient::SendHeldCharges() {
  state::ChargeLine line;
  {
    const std::lock_guard lock(this->mutex);
    if (this->held_charges.empty()) {
      return !this->ended.empty();
    }
    line = this->held_charges.front();
  }
  if (!this->CommitCharge(line, kCommitTimeout)) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  this->held_charges.pop_front();
  return true;
}

}  // namespace masticrill::entry
