#include "state/configuration_store.h"

#include <memory>
#include <utility>

#include "masticrill/common/hash.h"

namespace masticrill::state {
namespace {

/// Hashes the content of a change, to distinguish a resend from another change with the same id.
std::string Digest(ChangeKind kind, config::Number expected, const OperatorId& author,
                   const std::string& body) {
  std::string text;
  switch (kind) {
    case ChangeKind::kPatch:
      text = "patch ";
      break;
    case ChangeKind::kRollback:
      text = "rollback ";
      break;
    case ChangeKind::kDeclaration:
      text = "declaration ";
      break;
  }
  text += std::to_string(expected) + " " + std::to_string(author.Value().size()) + " " +
          author.Value() + " " + body;
  return Sha256Hex(text);
}

std::uint64_t SizeOf(const config::TextDelta& delta) {
  return delta.operations.size() + delta.base_digest.size() + delta.result_digest.size();
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
  return this->ApplyProposal(proposal, limits, now, [&]() -> Result<Change> {
    BOOST_LEAF_AUTO(change, config::ChangeDocument(this->document.document, command.merge_patch));
    return this->TakeTextApart(std::move(change));
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
  return this->ApplyProposal(proposal, limits, now, [&]() -> Result<Change> {
    BOOST_LEAF_AUTO(old_document, this->DocumentAt(command.to_number));
    BOOST_LEAF_AUTO(change, config::ReplaceDocument(this->document.document, old_document));
    Change result{std::move(change)};
    if (this->text_apart) {
      BOOST_LEAF_ASSIGN(result.text, this->TextAt(command.to_number));
    }
    return result;
  });
}

PatchResult ConfigurationStore::Apply(const ChangeDeclaration& command, const Limits& limits,
                                      WallTimeMs now) {
  const Proposal proposal{ChangeKind::kDeclaration,
                          command.patch_id,
                          this->document.number,
                          command.author,
                          command.reason,
                          command.at,
                          Digest(ChangeKind::kDeclaration, command.revision, command.author,
                                 command.change.base_digest + command.change.result_digest)};
  const bool is_new = this->FindResult(command.patch_id) == nullptr;
  const config::Declaration& current = this->configuration->declaration;
  const std::string digest =
      current.digest.empty() ? config::TextDigest(current.text.Value()) : current.digest;
  if (is_new && (command.revision <= current.revision || digest != command.change.base_digest)) {
    const PatchResult result{PatchStatus::kStale, this->document.number,
                             "Another declaration was put in force. Read it and send the change "
                             "again."};
    this->StoreResult(proposal, result, limits, now);
    return result;
  }
  return this->ApplyProposal(proposal, limits, now, [&]() -> Result<Change> {
    BOOST_LEAF_CHECK(this->BeginKeepingTextApart());
    return this->ChangeText(command);
  });
}

/// Takes the text out of the document. Earlier numbers can no longer be rolled back to, as their
/// patches belong to documents with the text.
Result<void> ConfigurationStore::BeginKeepingTextApart() {
  if (this->text_apart) {
    return {};
  }
  BOOST_LEAF_AUTO(split, config::TakeDeclarationText(this->document.document));
  BOOST_LEAF_AUTO(parsed, this->Parse(split.document, this->document.number,
                                      this->configuration->declaration.text));
  this->text_apart = true;
  this->document.document = std::move(split.document);
  this->configuration = std::make_shared<const config::Configuration>(std::move(parsed));
  this->history.clear();
  this->history_bytes = 0;
  return {};
}

Result<ConfigurationStore::Change> ConfigurationStore::ChangeText(
    const ChangeDeclaration& command) const {
  BOOST_LEAF_AUTO(
      text, config::ApplyTextDelta(this->configuration->declaration.text.Value(), command.change));
  const std::string patch = "{\"declaration\":{\"revision\":" + std::to_string(command.revision) +
                            ",\"digest\":\"" + config::TextDigest(text) + "\"}}";
  BOOST_LEAF_AUTO(change, config::ChangeDocument(this->document.document, patch));
  return Change{std::move(change), std::move(text), command.change};
}

/// Takes the text out of a changed document where it is kept apart.
Result<ConfigurationStore::Change> ConfigurationStore::TakeTextApart(
    config::DocumentChange change) const {
  if (!this->text_apart) {
    return Change{std::move(change)};
  }
  BOOST_LEAF_AUTO(split, config::TakeDeclarationText(change.document));
  if (!split.text) {
    return Change{std::move(change)};
  }
  BOOST_LEAF_AUTO(replaced, config::ReplaceDocument(this->document.document, split.document));
  return Change{std::move(replaced), *std::move(split.text)};
}

/// Parses a document. Where its declaration names a digest, the text must have it.
Result<config::Configuration> ConfigurationStore::Parse(const std::string& text,
                                                        config::Number number,
                                                        const config::SharedText& declared) const {
  BOOST_LEAF_AUTO(parsed, config::ParseDocument(text, number));
  config::Declaration& declaration = parsed.declaration;
  if (declaration.digest.empty()) {
    return parsed;
  }
  if (config::TextDigest(declared.Value()) != declaration.digest) {
    return Fail(ErrorKind::kInvalidConfiguration,
                "$.declaration.digest: belongs to no known text. Send the text instead.");
  }
  declaration.text = declared;
  return parsed;
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
                                         Change change) {
  const config::Number number = this->document.number + 1;
  const config::SharedText declared = change.text ? config::SharedText(*std::move(change.text))
                                                  : this->configuration->declaration.text;
  BOOST_LEAF_AUTO(parsed, this->Parse(change.document.document, number, declared));
  HistoryEntry entry{number,
                     proposal.kind,
                     proposal.id,
                     proposal.author,
                     proposal.reason,
                     proposal.at,
                     std::move(change.document.forward_patch),
                     std::move(change.document.reverse_patch)};
  this->history_bytes += SizeOf(entry);
  this->history.push_back(std::move(entry));
  if (this->text_apart) {
    this->RecordTextChange(number, parsed.declaration.text.Value(), std::move(change.text_delta));
  }
  this->document = {number, std::move(change.document.document)};
  this->configuration = std::make_shared<const config::Configuration>(std::move(parsed));
  this->TrimHistory(limits);
  return {};
}

void ConfigurationStore::RecordTextChange(config::Number number, const std::string& text,
                                          std::optional<config::TextDelta> delta) {
  const std::string& current = this->configuration->declaration.text.Value();
  if (text == current) {
    return;
  }
  // Snapshots are equal on all replicas, so no host compresses for itself.
  constexpr auto kEncoding = config::DeltaEncoding::kPlain;
  TextChange change{number,
                    delta ? *std::move(delta) : config::MakeTextDelta(current, text, kEncoding),
                    config::MakeTextDelta(text, current, kEncoding)};
  this->text_history.push_back(std::move(change));
}

void ConfigurationStore::TrimHistory(const Limits& limits) {
  while (this->history.size() > limits.max_history ||
         (this->history_bytes > limits.max_history_bytes && !this->history.empty())) {
    this->history_bytes -= SizeOf(this->history.front());
    this->history.pop_front();
  }
  std::uint64_t bytes = 0;
  for (const TextChange& change : this->text_history) {
    bytes += SizeOf(change.forward) + SizeOf(change.reverse);
  }
  const config::Number oldest = this->document.number - this->history.size();
  while (!this->text_history.empty() &&
         (this->text_history.front().number <= oldest || bytes > limits.max_history_bytes)) {
    const TextChange& front = this->text_history.front();
    bytes -= SizeOf(front.forward) + SizeOf(front.reverse);
    this->text_history.pop_front();
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

/// The text that is kept apart, as it was at that number.
Result<std::string> ConfigurationStore::TextAt(config::Number number) const {
  std::string text = this->configuration->declaration.text.Value();
  for (auto change = this->text_history.rbegin();
       change != this->text_history.rend() && change->number > number; ++change) {
    BOOST_LEAF_ASSIGN(text, config::ApplyTextDelta(text, change->reverse));
  }
  return text;
}

config::TextUpdate ConfigurationStore::TextUpdateFrom(const std::string& known_digest) const {
  const config::SharedText& current = this->configuration->declaration.text;
  config::TextUpdate update{this->configuration->declaration.digest, {}, std::nullopt};
  if (update.digest.empty() || known_digest == update.digest) {
    return update;
  }
  std::uint64_t bytes = 0;
  // The latest place at which a node that has seen the text more than once can go on.
  for (auto change = this->text_history.rbegin(); change != this->text_history.rend(); ++change) {
    bytes += SizeOf(change->forward);
    if (bytes > current.Value().size()) {
      break;
    }
    update.changes.insert(update.changes.begin(), change->forward);
    if (change->forward.base_digest == known_digest) {
      return update;
    }
  }
  update.changes.clear();
  update.whole = current;
  return update;
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
  BOOST_LEAF_AUTO(parsed, this->Parse(this->document.document, this->document.number,
                                      config::SharedText(std::move(this->loaded_text))));
  this->configuration = std::make_shared<const config::Configuration>(std::move(parsed));
  return {};
}

}  // namespace masticrill::state
