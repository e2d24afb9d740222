#ifndef MASTICRILL_STATE_LEDGER_H_
#define MASTICRILL_STATE_LEDGER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/state/commands.h"
#include "masticrill/state/replicated_state.h"
#include "masticrill/state/results.h"
#include "state/billed_set.h"
#include "state/expiring_table.h"
#include "state/outcome_chain.h"

namespace masticrill::state {

/// Records billing lines and the outcomes that entries report. Not thread-safe.
class Ledger {
 public:
  ChargeResult Apply(const Charge& command, const Limits& limits, WallTimeMs now);
  ReportResult Apply(const RecordOutcomes& command, const Limits& limits, WallTimeMs now);
  ReportResult Apply(const CloseIncarnation& command, const Limits& limits, WallTimeMs now);
  void Expire(WallTimeMs now) {
    this->charges.Expire(now);
    this->billed.Expire(now);
  }

  const OutcomeChain& Chain() const { return this->chain; }
  LedgerTotals Totals() const;
  ChainVerdict Verify() const;
  std::size_t ChargeCount() const { return this->charges.Size(); }
  std::size_t IncarnationCount() const { return this->incarnations.size(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->charges, this->billed, this->chain, this->incarnations, this->received,
            this->repeated_charges, this->charge_discrepancies, this->late_charges);
  }

 private:
  /// The digest distinguishes a repeat of a billing line from another line for the same request.
  struct ChargeRecord {
    std::uint64_t digest = 0;
    WallTimeMs expires_at = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->digest, this->expires_at);
    }
  };

  struct IncarnationKey {
    NodeId entry;
    IncarnationId incarnation;

    friend auto operator<=>(const IncarnationKey&,
                            const IncarnationKey&) = default;  // NOLINT(modernize-use-nullptr)
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->entry, this->incarnation);
    }
  };

  struct Counts {
    std::uint64_t received = 0;
    std::uint64_t ended = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->received, this->ended);
    }
  };

  struct Incarnation {
    std::uint64_t next_report = 1;
    std::map<TeamClass, Counts> counts;
    bool closed = false;
    WallTimeMs closed_at = 0;
    std::uint64_t failed = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->next_report, this->counts, this->closed, this->closed_at, this->failed);
    }
  };

  /// Returns the incarnation, adding it if needed; null when max_incarnations is reached.
  Incarnation* FindOrAddIncarnation(const IncarnationKey& key, const Limits& limits,
                                    WallTimeMs now);
  static std::optional<std::map<TeamClass, Counts>> AdvanceCounts(const Incarnation& incarnation,
                                                                  const RecordOutcomes& command);

  ChargeResult CountRepeat(bool same_content);
  /// Bills a request whose id was numbered by an entry; repeats are recognized by that number.
  ChargeResult BillNumbered(const NumberedRequest& request, const ChargeLine& line,
                            const Limits& limits, WallTimeMs now);
  /// Bills a request whose id has another form; repeats are recognized only within a window.
  ChargeResult BillUnnumbered(const ChargeLine& line, const Limits& limits, WallTimeMs now);

  ExpiringTable<RequestId, ChargeRecord> charges;
  BilledSet billed;
  OutcomeChain chain;
  std::map<IncarnationKey, Incarnation> incarnations;
  std::map<TeamClass, std::uint64_t> received;
  std::uint64_t repeated_charges = 0;
  std::uint64_t charge_discrepancies = 0;
  std::uint64_t late_charges = 0;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_LEDGER_H_
