#include "gateway/gateway_metrics.h"

namespace masticrill::gateway {

std::string GatewayMetrics::Text() const {
  MetricsWriter writer;
  writer.Counter("masticrill_gateway_received_total", "Requests that were received completely.",
                 this->received);
  writer.Counter("masticrill_gateway_answered_total", "Requests that got an upstream's answer.",
                 this->answered);
  writer.Counter("masticrill_gateway_escalated_total",
                 "Answers that were discarded to ask a stronger model.", this->escalated);
  writer.Counter("masticrill_gateway_resumed_total",
                 "Streams that were resumed at another upstream.", this->resumed);
  writer.Counter("masticrill_gateway_early_breaks_total",
                 "Attempts whose upstream ended the connection before their answer began or "
                 "shortly afterwards.",
                 this->early_breaks);
  writer.Counter("masticrill_gateway_limited_answers_total",
                 "Answers that state how many requests a second their upstream takes.",
                 this->limited_answers);
  writer.Counter("masticrill_gateway_pauses_total", "Refusals of upstreams that ask for a pause.",
                 this->pauses);
  writer.Gauge("masticrill_gateway_in_flight", "Requests in progress.",
               static_cast<double>(this->in_flight.load()));
  writer.Gauge("masticrill_gateway_connections", "Open connections from callers.",
               static_cast<double>(this->connections.load()));
  writer.EnumCounters("masticrill_gateway_refused_total",
                      "Requests that ended without an upstream's answer, by reason.", "reason",
                      this->refusals);
  writer.EnumCounters("masticrill_gateway_cut_total",
                      "Requests whose connection was closed without a complete answer, by the "
                      "phase of a planned stop.",
                      "phase", this->cut);
  writer.EnumCounters("masticrill_gateway_retries_total",
                      "Retry decisions after failed attempts, by reason.", "reason", this->retries);
  writer.Summary("masticrill_gateway_first_byte_seconds",
                 "From the arrival of a request to the head of its answer.", this->first_byte);
  writer.Summary("masticrill_gateway_whole_seconds",
                 "From the arrival of an answered request to its end.", this->whole);
  return writer.Text();
}

}  // namespace masticrill::gateway
