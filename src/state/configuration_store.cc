#include "state/configuration_store.h"

#include <memory>
#include <utility>

#include "masticrill/common/hash.h"

namespace masticrill::state {
namespace {

/// Hashes the content of a change, to distinguish a resend from another change with the same id.
std::string Digest(ChangeKind kind, config::Number expected, const OperatorId& author,
                   const std::string& body) {
  std::string text = kind == ChangeKind::kPatch ? "patch " : "rollback ";
  text += std::to_string(expected) + " " + std::to_string(author.Value().size()) + " " +
          author.Value() + " " + body;
  return Sha256Hex(text);
}

std::uint64_t SizeOf(const HistoryEntry& entry) {
  return entry.patch.size() + entry.reverse_patch.size() + entry.reason.size();
}

}  // namespace

ConfigurationStore::ConfigurationStore()
    : configuration(std::make_shared<const config::Configuration>()) {}

PatchResult ConfigurationStore::Apply(const PatchConfiguration& command, const Limits& limits,
                                      WallTimeMs now) {
  const Proposal proposal{
      ChangeKind::kPatch,
      command.patch_id,
      command.expected_number,
      command.author,
      command.reason,
      command.at,
      Digest(ChangeKind::kPatch, command.expected_number, command.author, command.merge_patch)};
  return this->ApplyProposal(proposal, limits, now, [&] {
    return config::ChangeDocument(this->document.document, command.merge_patch);
  });
}

PatchResult ConfigurationStore::Apply(const RollbackConfiguration& command, const Limits& limits,
                                      WallTimeMs now) {
  const Proposal proposal{ChangeKind::kRollback,
                          command.patch_id,
                          command.expected_number,
                          command.author,
                          command.reason,
                          command.at,
                          Digest(ChangeKind::kRollback, command.expected_number, command.author,
                                 std::to_string(command.to_number))};
  return this->ApplyProposal(proposal, limits, now, [&]() -> Result<config::DocumentChange> {
    BOOST_LEAF_AUTO(old_document, this->DocumentAt(command.to_number));
    return config::ReplaceDocument(this->document.document, old_document);
  });
}

template <typename MakeChange>
PatchResult ConfigurationStore::ApplyProposal(const Proposal& proposal, const Limits& limits,
                                              WallTimeMs now, MakeChange&& make_change) {
  const config::Number current = this->document.number;
  if (proposal.id.Empty()) {
    return {PatchStatus::kInvalid, current, "The patch id is empty. Send an Idempotency-Key."};
  }
  if (const PatchRecord* earlier = this->FindResult(proposal.id)) {
    if (earlier->digest == proposal.digest) {
      return earlier->result;
    }
    return {PatchStatus::kIdConflict, current,
            "The patch id was used with another change. Use a new one for each change."};
  }
  PatchResult result;
  if (proposal.expected_number != current) {
    result = {PatchStatus::kStale, current,
              "The configuration has number " + std::to_string(current) +
                  ". Read it, make the change again and send it with that number."};
  } else if (this->accepted.Size() >= limits.max_patch_results) {
    return {PatchStatus::kFull, current,
            "Too many changes were accepted within the patch window. Try again later."};
  } else {
    result = this->TryAccept(proposal, limits, std::forward<MakeChange>(make_change));
  }
  this->StoreResult(proposal, result, limits, now);
  return result;
}

template <typename MakeChange>
PatchResult ConfigurationStore::TryAccept(const Proposal& proposal, const Limits& limits,
                                          MakeChange&& make_change) {
  return HandleErrors(
      [&]() -> Result<PatchResult> {
        if (proposal.reason.size() > config::kMaxTextBytes) {
          return Fail(ErrorKind::kInvalidConfiguration, "The reason is too long. Shorten it.");
        }
        BOOST_LEAF_AUTO(change, make_change());
        BOOST_LEAF_CHECK(this->Install(proposal, limits, std::move(change)));
        return PatchResult{PatchStatus::kAccepted, this->document.number, ""};
      },
      [this](const Error& error) {
        return PatchResult{PatchStatus::kInvalid, this->document.number, error.message};
      });
}

const ConfigurationStore::PatchRecord* ConfigurationStore::FindResult(const PatchId& id) const {
  if (const PatchRecord* record = this->accepted.Find(id)) {
    return record;
  }
  const auto found = this->refused.find(id);
  return found == this->refused.end() ? nullptr : &found->second;
}

void ConfigurationStore::StoreResult(const Proposal& proposal, const PatchResult& result,
                                     const Limits& limits, WallTimeMs now) {
  const PatchRecord record{proposal.digest, result, now + limits.patch_window_ms};
  if (result.status == PatchStatus::kAccepted) {
    this->accepted.Insert(proposal.id, record);
    return;
  }
  // Dropping the result of a refused change is safe: a resend is evaluated again.
  if (this->refused_order.size() >= limits.max_refused_patch_results) {
    this->refused.erase(this->refused_order.front());
    this->refused_order.pop_front();
  }
  this->refused.emplace(proposal.id, record);
  this->refused_order.push_back(proposal.id);
}

Result<void> ConfigurationStore::Install(const Proposal& proposal, const Limits& limits,
                                         config::DocumentChange change) {
  const config::Number number = this->document.number + 1;
  BOOST_LEAF_AUTO(parsed, config::ParseDocument(change.document, number));
  HistoryEntry entry{number,
                     proposal.kind,
                     proposal.id,
                     proposal.author,
                     proposal.reason,
                     proposal.at,
                     std::move(change.forward_patch),
                     std::move(change.reverse_patch)};
  this->history_bytes += SizeOf(entry);
  this->history.push_back(std::move(entry));
  this->document = {number, std::move(change.document)};
  this->configuration = std::make_shared<const config::Configuration>(std::move(parsed));
  this->TrimHistory(limits);
  return {};
}

void ConfigurationStore::TrimHistory(const Limits& limits) {
  while (this->history.size() > limits.max_history ||
         (this->history_bytes > limits.max_history_bytes && !this->history.empty())) {
    this->history_bytes -= SizeOf(this->history.front());
    this->history.pop_front();
  }
}

Result<std::string> ConfigurationStore::DocumentAt(config::Number number) const {
  const config::Number oldest = this->document.number - this->history.size();
  if (number < oldest || number >= this->document.number) {
    return Fail(ErrorKind::kInvalidConfiguration,
                "No rollback to number " + std::to_string(number) +
                    " is possible. Use a number from " + std::to_string(oldest) + " to below " +
                    std::to_string(this->document.number) + ".");
  }
  std::string text = this->document.document;
  for (auto entry = this->history.rbegin(); entry != this->history.rend() && entry->number > number;
       ++entry) {
    BOOST_LEAF_ASSIGN(text, config::ApplyMergePatch(text, entry->reverse_patch));
  }
  return text;
}

config::ConfigurationDelta ConfigurationStore::DeltaFrom(config::Number known) const {
  config::ConfigurationDelta delta;
  delta.to = this->document.number;
  delta.digest = Sha256Hex(this->document.document);
  const config::Number oldest = this->document.number - this->history.size();
  std::size_t patch_bytes = 0;
  if (known >= oldest && known <= this->document.number) {
    delta.from = known;
    for (const HistoryEntry& entry : this->history) {
      if (entry.number > known) {
        delta.patches.push_back(entry.patch);
        patch_bytes += entry.patch.size();
      }
    }
    if (patch_bytes <= this->document.document.size()) {
      return delta;
    }
  }
  delta.from = 0;
  delta.patches.clear();
  delta.full_document = this->document.document;
  return delta;
}

Result<void> ConfigurationStore::Reload() {
  BOOST_LEAF_AUTO(parsed, config::ParseDocument(this->document.document, this->document.number));
  this->configuration = std::make_shared<const config::Configuration>(std::move(parsed));
  return {};
}

}  // namespace masticrill::state
