#include "entry/entry_metrics.h"

namespace masticrill::entry {

std::string EntryMetrics::Write(config::Number number, bool lease_valid,
                                std::size_t held_charges) const {
  MetricsWriter writer;
  writer.Counter("masticrill_entry_received_total", "Requests received.", this->received);
  writer.Counter("masticrill_entry_answered_total", "Requests answered whole.", this->answered);
  writer.Gauge("masticrill_entry_open", "Requests that have not ended.",
               static_cast<double>(this->open));
  writer.EnumCounters("masticrill_entry_refusals_total", "Requests that ended without an answer.",
                      "reason", this->refusals);
  writer.EnumCounters("masticrill_entry_retries_total",
                      "Decisions on another attempt, made or refused.", "reason", this->retries);
  writer.EnumCounters("masticrill_entry_choices_total", "Decisions on an upstream.", "reason",
                      this->choices);
  writer.EnumCounters("masticrill_entry_cascade_steps_total", "Decisions on a cascade step.",
                      "reason", this->cascade_steps);
  writer.Counter("masticrill_entry_generated_tokens_total", "Tokens of answers.",
                 this->generated_tokens);
  writer.Summary("masticrill_entry_first_token_seconds",
                 "From the receipt of a request to the first part of its answer.",
                 this->first_token);
  writer.Summary("masticrill_entry_answer_seconds",
                 "From the receipt of a request to the end of its answer.", this->whole_answer);
  writer.Gauge("masticrill_entry_configuration_number", "The configuration in force here.",
               static_cast<double>(number));
  writer.Gauge("masticrill_entry_lease_valid", "1 while new work may be taken.",
               lease_valid ? 1 : 0);
  writer.Gauge("masticrill_entry_charges_held", "Charges that the ledger has not acknowledged.",
               static_cast<double>(held_charges));
  return writer.Text();
}

}  // namespace masticrill::entry
