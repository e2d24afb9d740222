// The part of CallRunner that ends a request: its refusal and its record.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/call_runner.h"
#include "gateway/call_status.h"
#include "masticrill/common/log.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);

}  // namespace

Execution CallRunner::ExecutionSoFar() const {
  return this->may_have_run ? Execution::kUnknown : Execution::kNotRun;
}

void CallRunner::Refuse(RefusalKind kind, std::string message,
                        std::optional<milliseconds> retry_after) {
  this->context.metrics.refusals.Add(kind);
  if (this->caller.Begun()) {
    this->Cut(ToString(kind));
    return;
  }
  const Execution execution = this->ExecutionSoFar();
  int status = HttpStatus(kind);
  constexpr int kBadGateway = 502;
  if (ImpliesNotRun(status) && execution != Execution::kNotRun) {
    status = kBadGateway;
  }
  std::vector<net::HeaderField> headers = {{"Content-Type", "application/json"}};
  if (retry_after && ImpliesNotRun(status)) {
    headers.push_back({"Retry-After", RetryAfterText(*retry_after)});
  }
  const nlohmann::json answer = {{"error",
                                  {{"kind", ToString(kind)},
                                   {"message", message},
                                   {"not_run", NotRunText(execution)},
                                   {"request_id", this->metadata.request.Value()}}}};
  this->caller.SendWhole(status, std::move(headers), answer.dump(),
                         std::max(this->deadline, this->clock.Now()) + kFinalAnswerGrace);
  this->RecordEnd(execution == Execution::kNotRun ? "refused" : "failed", status, ToString(kind));
}

void CallRunner::Cancel() {
  this->context.metrics.refusals.Add(RefusalKind::kCancelled);
  this->caller.Abort();
  this->RecordEnd("cancelled", 0, "caller_left");
}

void CallRunner::Cut(std::string_view reason) {
  this->context.metrics.cut.Add(this->context.phase());
  this->caller.Abort();
  this->RecordEnd("failed", 0, reason);
}

ActiveCall CallRunner::Describe() const {
  ActiveCall call;
  call.arrived_at = this->arrived_at;
  if (const std::optional<TimePoint> answer_by = this->context.answer_by()) {
    call.stop_left = *answer_by - this->clock.Now();
  }
  return call;
}

/// The model of the last attempt; empty where the system did not choose it.
std::string CallRunner::LastModel() const {
  const bool chosen =
      this->route != nullptr && this->metadata.any_model && !this->route->models.empty();
  return chosen ? this->route->models.at(this->model_index).Value() : "";
}

void CallRunner::RecordEnd(std::string_view outcome, int status, std::string_view reason) {
  const Duration whole = this->clock.Now() - this->arrived_at;
  if (outcome == "answered") {
    ++this->context.metrics.answered;
    this->context.metrics.whole.Record(whole);
  }
  if (this->first_byte) {
    this->context.metrics.first_byte.Record(*this->first_byte);
  }
  kLog.Info("Request ended.",
            {{"request", this->metadata.request},
             {"outcome", outcome},
             {"status", status},
             {"reason", reason},
             {"route", this->route == nullptr ? "" : this->route->id.Value()},
             {"team", this->owner.team},
             {"whole_request", this->parts.whole},
             {"service", this->service},
             {"upstream", this->last_pick.upstream.id},
             {"choice", ToString(this->last_pick.reason)},
             {"work_ahead", static_cast<std::int64_t>(this->last_pick.load)},
             {"held_back_ms", duration_cast<milliseconds>(this->held_back).count()},
             {"upstream_running", this->last_load.running},
             {"upstream_waiting", this->last_load.waiting},
             {"upstream_slowdown", this->last_load.slowdown.value_or(-1)},
             {"model", this->LastModel()},
             {"confidence", this->confidence.value_or(-1)},
             {"discarded_confidence", this->discarded_confidence.value_or(-1)},
             {"last_attempt", this->last_attempt_end},
             {"attempts", this->attempts},
             {"stop_phase", ToString(this->context.phase())},
             {"events", this->events.EventCount()},
             {"first_byte_ms",
              this->first_byte ? duration_cast<milliseconds>(*this->first_byte).count() : -1},
             {"total_ms", duration_cast<milliseconds>(whole).count()},
             {"number", this->view == nullptr || this->view->configuration == nullptr
                            ? 0
                            : this->view->configuration->number},
             {"revision", this->view == nullptr ? 0 : this->view->table->revision}});
}

}  // namespace masticrill::gateway
