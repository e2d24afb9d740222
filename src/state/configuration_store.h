#ifndef MASTICRILL_STATE_CONFIGURATION_STORE_H_
#define MASTICRILL_STATE_CONFIGURATION_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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
  PatchResult Apply(const ChangeDeclaration& command, const Limits& limits, WallTimeMs now);
  void Expire(WallTimeMs now) { this->accepted.Expire(now); }

  const config::ConfigurationPtr& Current() const { return this->configuration; }
  const config::NumberedDocument& Document() const { return this->document; }
  std::vector<HistoryEntry> History() const { return {this->history.begin(), this->history.end()}; }
  std::size_t HistorySize() const { return this->history.size(); }
  std::size_t ResultCount() const { return this->accepted.Size() + this->refused.size(); }
  config::ConfigurationDelta DeltaFrom(config::Number known) const;
  /// Whether the text of the declaration is kept apart from the document.
  bool KeepsTextApart() const { return this->text_apart; }
  /// What leads from the text with that digest to the current one.
  config::TextUpdate TextUpdateFrom(const std::string& known_digest) const;

  /// Parses the document after it was loaded from a snapshot.
  Result<void> Reload();

  template <typename Archive>
  void save(Archive& archive) const {
    archive(this->document, this->history_bytes, this->accepted, this->refused);
    archive(std::vector<HistoryEntry>(this->history.begin(), this->history.end()));
    archive(std::vector<PatchId>(this->refused_order.begin(), this->refused_order.end()));
  }

  /// The text that is kept apart, and its changes. In an archive of their own, so that a snapshot
  /// without them has the earlier format.
  template <typename Archive>
  void SaveText(Archive& archive) const {
    archive(this->configuration->declaration.text.Value());
    archive(std::vector<TextChange>(this->text_history.begin(), this->text_history.end()));
  }

  template <typename Archive>
  void LoadText(Archive& archive) {
    std::string text;
    std::vector<TextChange> changes;
    archive(text, changes);
    this->text_apart = true;
    this->loaded_text = std::move(text);
    this->text_history.assign(changes.begin(), changes.end());
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

  /// The deltas of a change of the text that is kept apart, there and back.
  struct TextChange {
    config::Number number = 0;
    config::TextDelta forward;
    config::TextDelta reverse;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->number, this->forward, this->reverse);
    }
  };

  /// What a proposal makes of the configuration.
  struct Change {
    config::DocumentChange document;
    /// The new text where it is kept apart and differs.
    std::optional<std::string> text = std::nullopt;
    /// The delta from the current text to that one, if it is known.
    std::optional<config::TextDelta> text_delta = std::nullopt;
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
  Result<void> Install(const Proposal& proposal, const Limits& limits, Change change);
  Result<Change> TakeTextApart(config::DocumentChange change) const;
  Result<Change> ChangeText(const ChangeDeclaration& command) const;
  Result<void> BeginKeepingTextApart();
  Result<config::Configuration> Parse(const std::string& text, config::Number number,
                                      const config::SharedText& declared) const;
  void RecordTextChange(config::Number number, const std::string& text,
                        std::optional<config::TextDelta> delta);
  void TrimHistory(const Limits& limits);
  Result<std::string> DocumentAt(config::Number number) const;
  Result<std::string> TextAt(config::Number number) const;

  config::NumberedDocument document;
  config::ConfigurationPtr configuration;
  bool text_apart = false;
  /// Between LoadText and Reload.
  std::string loaded_text;
  std::deque<TextChange> text_history;
  std::deque<HistoryEntry> history;
  std::uint64_t history_bytes = 0;
  ExpiringTable<PatchId, PatchRecord> accepted;
  std::map<PatchId, PatchRecord> refused;
  std::deque<PatchId> refused_order;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_CONFIGURATION_STORE_H_
