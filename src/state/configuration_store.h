#ifndef MASTICRILL_STATE_CONFIGURATION_STORE_H_
#define MASTICRILL_STATE_CONFIGURATION_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/config/configuration.h"
#include "masticrill/config/delta.h"
#include "masticrill/config/document.h"
#include "masticrill/state/commands.h"
#include "masticrill/state/replicated_state.h"
#include "masticrill/state/results.h"
#include "state/expiring_table.h"

namespace masticrill::state {

/// Stores the numbered configuration, its history and the results of recent changes. Not
/// thread-safe.
class ConfigurationStore {
 public:
  ConfigurationStore();

  PatchResult Apply(const PatchConfiguration& command, const Limits& limits, WallTimeMs now);
  PatchResult Apply(const RollbackConfiguration& command, const Limits& limits, WallTimeMs now);
  void Expire(WallTimeMs now) { this->accepted.Expire(now); }

  const config::ConfigurationPtr& Current() const { return this->configuration; }
  const config::NumberedDocument& Document() const { return this->document; }
  std::vector<HistoryEntry> History() const { return {this->history.begin(), this->history.end()}; }
  std::size_t HistorySize() const { return this->history.size(); }
  std::size_t ResultCount() const { return this->accepted.Size() + this->refused.size(); }
  config::ConfigurationDelta DeltaFrom(config::Number known) const;

  /// Parses the document after it was loaded from a snapshot.
  Result<void> Reload();

  template <typename Archive>
  void save(Archive& archive) const {
    archive(this->document, this->history_bytes, this->accepted, this->refused);
    archive(std::vector<HistoryEntry>(this->history.begin(), this->history.end()));
    archive(std::vector<PatchId>(this->refused_order.begin(), this->refused_order.end()));
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::vector<HistoryEntry> entries;
    std::vector<PatchId> order;
    archive(this->document, this->history_bytes, this->accepted, this->refused, entries, order);
    this->history.assign(entries.begin(), entries.end());
    this->refused_order.assign(order.begin(), order.end());
  }

 private:
  /// The first result for a patch id. The digest distinguishes a resend from another change.
  struct PatchRecord {
    std::string digest;
    PatchResult result;
    WallTimeMs expires_at = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->digest, this->result, this->expires_at);
    }
  };

  /// A requested change of the configuration.
  struct Proposal {
    ChangeKind kind = ChangeKind::kPatch;
    const PatchId& id;
    config::Number expected_number = 0;
    const OperatorId& author;
    const std::string& reason;
    WallTimeMs at = 0;
    std::string digest;
  };

  template <typename MakeChange>
  PatchResult ApplyProposal(const Proposal& proposal, const Limits& limits, WallTimeMs now,
                            MakeChange&& make_change);
  template <typename MakeChange>
  PatchResult TryAccept(const Proposal& proposal, const Limits& limits, MakeChange&& make_change);
  const PatchRecord* FindResult(const PatchId& id) const;
  void StoreResult(const Proposal& proposal, const PatchResult& result, const Limits& limits,
                   WallTimeMs now);
  Result<void> Install(const Proposal& proposal, const Limits& limits,
                       config::DocumentChange change);
  void TrimHistory(const Limits& limits);
  Result<std::string> DocumentAt(config::Number number) const;

  config::NumberedDocument document;
  config::ConfigurationPtr configuration;
  std::deque<HistoryEntry> history;
  std::uint64_t history_bytes = 0;
  ExpiringTable<PatchId, PatchRecord> accepted;
  std::map<PatchId, PatchRecord> refused;
  std::deque<PatchId> refused_order;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_CONFIGURATION_STORE_H_
