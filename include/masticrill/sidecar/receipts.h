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

/// What one attempt used, for the ledger. The ledger drops repeats by attempt.
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
  /// Receipts that are held and places reserved for attempts in flight, together.
  std::size_t capacity = 8192;
  Duration resend_after = seconds(2);

  friend bool operator==(const ReceiptOptions&, const ReceiptOptions&) = default;
};

/// Holds the receipt of each attempt until the ledger acknowledges it. A place is reserved before
/// an attempt starts, so that an attempt that ran always has its receipt. Not thread-safe.
class Receipts {
 public:
  explicit Receipts(const ReceiptOptions& options) : options(options) {}

  bool HasCapacity() const { return this->held.size() + this->reserved < this->options.capacity; }
  /// Takes a place for an attempt that is about to start. False when none is left.
  bool Reserve();
  /// Fills a reserved place.
  void Add(const Receipt& receipt);
  /// Gives a reserved place back: the attempt was not handed over after all.
  void CancelReservation();
  void Acknowledge(const AttemptId& attempt);

  /// Receipts that were not sent yet, or were sent so long ago that they are sent again; at most
  /// limit of them. They count as sent now.
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
