#include "masticrill/state/replicated_state.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "masticrill/common/hash.h"
#include "masticrill/common/log.h"
#include "masticrill/config/document.h"
#include "masticrill/state/codec.h"
#include "state/archive.h"
#include "state/claim_table.h"
#include "state/command_check.h"
#include "state/configuration_store.h"
#include "state/ledger.h"
#include "state/pin_table.h"
#include "state/synchronized_value.h"

namespace masticrill::state {
namespace {

constexpr Logger kLogger(LogPart::kState);
constexpr std::uint32_t kSnapshotVersion = 2;
/// With the text of the declaration kept apart; written only then, since earlier programs read only
/// the other one.
constexpr std::uint32_t kSnapshotVersionWithText = 3;
/// The end of the year 9999. Later times can only come from a defect.
constexpr WallTimeMs kMaxWallTimeMs = 253'402'300'799'000;

/// The position up to which the log was applied, and the time of the state.
struct Progress {
  std::uint64_t last_index = 0;
  std::string last_result;
  /// The time of the state: the latest `at` of the applied commands, advanced in bounded steps.
  WallTimeMs now = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->last_index, this->last_result, this->now);
  }
};

/// Returns the time of the state after a command. One command advances the time by a bounded step,
/// so that one wrong clock does not expire all records.
WallTimeMs NextTime(WallTimeMs now, WallTimeMs at, const Limits& limits) {
  const WallTimeMs bounded = std::clamp<WallTimeMs>(at, 0, kMaxWallTimeMs);
  if (now == 0) {
    return bounded;
  }
  return std::max(now, std::min(bounded, now + limits.max_clock_step_ms));
}

}  // namespace

struct ReplicatedState::Shards {
  explicit Shards(const Limits& limits) : limits(limits) {}

  CommandResult Apply(std::string_view bytes, bool in_batch);
  CommandResult Dispatch(const Command& command, bool in_batch);
  WallTimeMs AdvanceTime(WallTimeMs at);

  template <typename Kind>
  requires std::same_as<Kind, PatchConfiguration> || std::same_as<Kind, RollbackConfiguration> ||
      std::same_as<Kind, ChangeDeclaration>
          CommandResult Run(const Kind& command) {
    const WallTimeMs now = this->AdvanceTime(command.at);
    return this->configuration.Write([&](ConfigurationStore& store) {
      store.Expire(now);
      return store.Apply(command, this->limits, now);
    });
  }

  template <typename Kind>
  requires std::same_as<Kind, OpenClaim> || std::same_as<Kind, ReassignClaim> ||
      std::same_as<Kind, ResolveClaim>
          CommandResult Run(const Kind& command) {
    const WallTimeMs now = this->AdvanceTime(command.at);
    return this->claims.Write([&](ClaimTable& table) {
      table.Expire(this->limits, now);
      return table.Apply(command, this->limits, now);
    });
  }

  template <typename Kind>
  requires std::same_as<Kind, PinSession> || std::same_as<Kind, RepinSession> CommandResult
  Run(const Kind& command) {
    const WallTimeMs now = this->AdvanceTime(command.at);
    const config::ConfigurationPtr current = this->Current();
    return this->pins.Write([&](PinTable& table) {
      table.Expire(now);
      return table.Apply(command, *current, this->limits, now);
    });
  }

  template <typename Kind>
  requires std::same_as<Kind, Charge> || std::same_as<Kind, RecordOutcomes> ||
      std::same_as<Kind, CloseIncarnation>
          CommandResult Run(const Kind& command) {
    const WallTimeMs now = this->AdvanceTime(command.at);
    return this->ledger.Write([&](Ledger& shard) {
      shard.Expire(now);
      return shard.Apply(command, this->limits, now);
    });
  }

  CommandResult Run(const Batch& batch) {
    BatchResult results;
    results.results.reserve(batch.commands.size());
    for (const std::string& command : batch.commands) {
      results.results.push_back(EncodeResult(this->Apply(command, true)));
    }
    return results;
  }

  config::ConfigurationPtr Current() const {
    return this->configuration.Read(
        [](const ConfigurationStore& store) { return store.Current(); });
  }

  const Limits limits;
  SynchronizedValue<Progress> progress;
  SynchronizedValue<ConfigurationStore> configuration;
  SynchronizedValue<ClaimTable> claims;
  SynchronizedValue<PinTable> pins;
  SynchronizedValue<Ledger> ledger;
};

WallTimeMs ReplicatedState::Shards::AdvanceTime(WallTimeMs at) {
  return this->progress.Write([&](Progress& state) {
    state.now = NextTime(state.now, at, this->limits);
    return state.now;
  });
}

CommandResult ReplicatedState::Shards::Apply(std::string_view bytes, bool in_batch) {
  return HandleErrors(
      [&]() -> Result<CommandResult> {
        BOOST_LEAF_AUTO(command, DecodeCommand(bytes));
        return this->Dispatch(command, in_batch);
      },
      [](const Error& error) -> CommandResult {
        return RejectedCommand{error.kind, error.message};
      });
}

CommandResult ReplicatedState::Shards::Dispatch(const Command& command, bool in_batch) {
  if (in_batch && std::holds_alternative<Batch>(command)) {
    return RejectedCommand{ErrorKind::kMalformedMessage,
                           "A batch contains another batch. Send their commands in one batch."};
  }
  if (std::string fault = FindCommandFault(command, this->limits); !fault.empty()) {
    if (const auto* report = std::get_if<RecordOutcomes>(&command)) {
      return ReportResult{ReportStatus::kTooLarge, report->report, 0};
    }
    return RejectedCommand{ErrorKind::kTooLarge, std::move(fault)};
  }
  return std::visit([this](const auto& inner) { return this->Run(inner); }, command);
}

ReplicatedState::ReplicatedState(const Limits& limits) : shards(std::make_unique<Shards>(limits)) {}

ReplicatedState::~ReplicatedState() = default;

std::string ReplicatedState::Apply(std::uint64_t index, std::string_view command) {
  const auto repeated =
      this->shards->progress.Read([&](const Progress& state) -> std::optional<std::string> {
        if (index > state.last_index) {
          return std::nullopt;
        }
        if (index == state.last_index) {
          return state.last_result;
        }
        return EncodeResult(RejectedCommand{
            ErrorKind::kConflict, "The log index was applied before. Read the state instead."});
      });
  if (repeated) {
    return *repeated;
  }
  std::string result = EncodeResult(this->shards->Apply(command, false));
  this->shards->progress.Write([&](Progress& state) {
    state.last_index = index;
    state.last_result = result;
  });
  return result;
}

std::string ReplicatedState::Snapshot() const {
  std::string bytes;
  ByteWriter writer(bytes);
  const auto write = [&](const auto& shard) { writer(shard); };
  const bool text_apart = this->KeepsTextApart();
  writer(text_apart ? kSnapshotVersionWithText : kSnapshotVersion, this->shards->limits);
  this->shards->progress.Read(write);
  this->shards->configuration.Read(write);
  this->shards->claims.Read(write);
  this->shards->pins.Read(write);
  this->shards->ledger.Read(write);
  if (text_apart) {
    this->shards->configuration.Read(
        [&](const ConfigurationStore& store) { store.SaveText(writer); });
  }
  return bytes;
}

Result<void> ReplicatedState::TryRestore(std::string_view snapshot) {
  Progress progress;
  ConfigurationStore configuration;
  ClaimTable claims;
  PinTable pins;
  Ledger ledger;
  try {
    ByteReader reader(snapshot);
    std::uint32_t version = 0;
    Limits limits;
    reader(version);
    if (version != kSnapshotVersion && version != kSnapshotVersionWithText) {
      return Fail(ErrorKind::kCorruptStorage,
                  "The snapshot has format " + std::to_string(version) +
                      ". Start the version of the program that wrote it.");
    }
    reader(limits);
    if (limits != this->shards->limits) {
      return Fail(ErrorKind::kCorruptStorage,
                  "The snapshot was made under other limits. Set equal limits on all replicas.");
    }
    reader(progress, configuration, claims, pins, ledger);
    if (version == kSnapshotVersionWithText) {
      configuration.LoadText(reader);
    }
    reader.ExpectEnd();
  } catch (const cereal::Exception& exception) {
    return Fail(ErrorKind::kCorruptStorage, std::string("The snapshot cannot be read: ") +
                                                exception.what() +
                                                " Take one from another replica.");
  }
  BOOST_LEAF_CHECK(configuration.Reload());
  const auto replace = [](auto& from) { return [&from](auto& shard) { shard = std::move(from); }; };
  this->shards->configuration.Write(replace(configuration));
  this->shards->claims.Write(replace(claims));
  this->shards->pins.Write(replace(pins));
  this->shards->ledger.Write(replace(ledger));
  this->shards->progress.Write(replace(progress));
  return {};
}

void ReplicatedState::Restore(std::string_view snapshot) {
  const std::string failure = HandleErrors(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(this->TryRestore(snapshot));
        return std::string();
      },
      [](const Error& error) { return error.message; });
  if (!failure.empty()) {
    kLogger.Error("The snapshot cannot be restored; the process stops.", {{"cause", failure}});
    std::abort();
  }
}

std::uint64_t ReplicatedState::LastIndex() const {
  return this->shards->progress.Read([](const Progress& state) { return state.last_index; });
}

config::ConfigurationPtr ReplicatedState::Configuration() const { return this->shards->Current(); }

config::NumberedDocument ReplicatedState::Document() const {
  return this->shards->configuration.Read(
      [](const ConfigurationStore& store) { return store.Document(); });
}

std::vector<HistoryEntry> ReplicatedState::History() const {
  return this->shards->configuration.Read(
      [](const ConfigurationStore& store) { return store.History(); });
}

config::ConfigurationDelta ReplicatedState::DeltaFrom(config::Number known) const {
  return this->shards->configuration.Read(
      [known](const ConfigurationStore& store) { return store.DeltaFrom(known); });
}

bool ReplicatedState::KeepsTextApart() const {
  return this->shards->configuration.Read(
      [](const ConfigurationStore& store) { return store.KeepsTextApart(); });
}

Result<config::ConfigurationDelta> ReplicatedState::WholeDelta() const {
  const auto [document, text] =
      this->shards->configuration.Read([](const ConfigurationStore& store) {
        return std::pair(store.Document(), store.Current()->declaration.text);
      });
  config::ConfigurationDelta delta;
  delta.to = document.number;
  BOOST_LEAF_ASSIGN(delta.full_document,
                    config::PutDeclarationText(document.document, text.Value()));
  delta.digest = Sha256Hex(delta.full_document);
  return delta;
}

ConfigurationUpdate ReplicatedState::UpdateFrom(config::Number known,
                                                const std::string& known_digest) const {
  return this->shards->configuration.Read([&](const ConfigurationStore& store) {
    return ConfigurationUpdate{store.DeltaFrom(known), store.TextUpdateFrom(known_digest)};
  });
}

std::optional<ClaimResult> ReplicatedState::FindClaim(const ClaimKey& key) const {
  return this->shards->claims.Read([&](const ClaimTable& table) { return table.Find(key); });
}

std::optional<PinResult> ReplicatedState::FindPin(const PinKey& key) const {
  const config::ConfigurationPtr current = this->Configuration();
  return this->shards->pins.Read([&](const PinTable& table) { return table.Find(key, *current); });
}

std::optional<ChargeLine> ReplicatedState::FindCharge(const RequestId& request) const {
  return this->shards->ledger.Read([&](const Ledger& shard) -> std::optional<ChargeLine> {
    const ChargeLine* line = shard.Chain().FindCharge(request);
    return line == nullptr ? std::nullopt : std::optional(*line);
  });
}

LedgerTotals ReplicatedState::Totals() const {
  return this->shards->ledger.Read([](const Ledger& shard) { return shard.Totals(); });
}

ChainPoint ReplicatedState::ChainHead() const {
  return this->shards->ledger.Read([](const Ledger& shard) { return shard.Chain().Head(); });
}

std::vector<ChainedRecord> ReplicatedState::RecordsAfter(std::uint64_t sequence,
                                                         std::size_t limit) const {
  return this->shards->ledger.Read(
      [&](const Ledger& shard) { return shard.Chain().RecordsAfter(sequence, limit); });
}

ChainVerdict ReplicatedState::VerifyLedger() const {
  return this->shards->ledger.Read([](const Ledger& shard) { return shard.Verify(); });
}

std::vector<std::string> ReplicatedState::Explain(const RequestId& request) const {
  std::vector<std::string> lines =
      this->shards->claims.Read([&](const ClaimTable& table) { return table.Explain(request); });
  const std::vector<std::string> records = this->shards->ledger.Read(
      [&](const Ledger& shard) { return shard.Chain().Explain(request); });
  lines.insert(lines.end(), records.begin(), records.end());
  return lines;
}

StateSizes ReplicatedState::Sizes() const {
  StateSizes sizes;
  this->shards->configuration.Read([&](const ConfigurationStore& store) {
    sizes.history = store.HistorySize();
    sizes.patch_results = store.ResultCount();
  });
  this->shards->claims.Read([&](const ClaimTable& table) { sizes.claims = table.Size(); });
  this->shards->pins.Read([&](const PinTable& table) { sizes.pins = table.Size(); });
  this->shards->ledger.Read([&](const Ledger& shard) {
    sizes.charges = shard.ChargeCount();
    sizes.incarnations = shard.IncarnationCount();
    sizes.retained_records = shard.Chain().RetainedSize();
  });
  return sizes;
}

}  // namespace masticrill::state
