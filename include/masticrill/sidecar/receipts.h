#ifndef MASTICRILL_SIDECAR_RECEIPTS_H_
#define MASTICRILL_SIDECAR_RECEIPTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/sidecar/attempt.h"

namespace masticrill::sidecar {

/// Usage record of one attempt, for the ledger. The ledger recognizes duplicates by the request.
struct Receipt {
  AttemptId attempt;
  RequestId request;
  TeamId team;
  std::optional<ModelVersion> version;
  std::optional<ServiceId> service;
  std::uint64_t tokens = 0;
  EngineOutcome outcome = EngineOutcome::kOk;

  friend bool operator==(const Receipt&, const Receipt&) = default;
};

struct ReceiptOptions {
  /// Maximum number of held receipts plus reservations for attempts in flight.
  std::size_t capacity = 8192;
  Duration resend_after = seconds(2);

  friend bool operator==(const ReceiptOptions&, const ReceiptOptions&) = default;
};

/// Holds each attempt's receipt until the ledger has its charge or none is due. Capacity is
/// reserved before an attempt starts, so that one that ran always has its receipt. Not thread-safe.
class Receipts {
 public:
  explicit Receipts(const ReceiptOptions& options) : options(options) {}

  bool HasCapacity() const { return this->held.size() + this->reserved < this->options.capacity; }
  /// Reserves capacity for an attempt that is about to start. Returns false when none is left.
  bool Reserve();
  /// Stores a receipt and uses up one reservation.
  void Add(const Receipt& receipt);
  /// Releases a reservation: the attempt was not sent to the upstream.
  void CancelReservation();
  void Acknowledge(const AttemptId& attempt);

  /// Returns at most `limit` receipts that were not sent yet, or were last sent at least
  /// resend_after ago, and marks them as sent at `now`.
  std::vector<Receipt> TakeDue(std::size_t limit, TimePoint now);

  std::size_t Held() const { return this->held.size(); }

 private:
  struct Entry {
    Receipt receipt;
    std::optional<TimePoint> sent_at;
  };

  ReceiptOptions options;
  std::size_t reserved = 0;
  std::unordered_map<AttemptId, Entry> held;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_RECEIPTS_H_
