#include "masticrill/sidecar/receipts.h"

namespace masticrill::sidecar {

bool Receipts::Reserve() {
  if (!this->HasCapacity()) {
    return false;
  }
  this->reserved += 1;
  return true;
}

void Receipts::Add(const Receipt& receipt) {
  if (this->reserved > 0) {
    this->reserved -= 1;
  }
  this->held.emplace(receipt.attempt, Entry{receipt, std::nullopt});
}

void Receipts::CancelReservation() {
  if (this->reserved > 0) {
    this->reserved -= 1;
  }
}

void Receipts::Acknowledge(const AttemptId& attempt) { this->held.erase(attempt); }

std::vector<Receipt> Receipts::TakeDue(std::size_t limit, TimePoint now) {
  std::vector<Receipt> due;
  for (auto& [attempt, entry] : this->held) {
    if (due.size() >= limit) {
      break;
    }
    if (entry.sent_at && now - *entry.sent_at < this->options.resend_after) {
      continue;
    }
    entry.sent_at = now;
    due.push_back(entry.receipt);
  }
  return due;
}

}  // namespace masticrill::sidecar
