#ifndef MASTICRILL_NET_CONTROL_MESSAGES_H_
#define MASTICRILL_NET_CONTROL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/config/delta.h"
#include "masticrill/config/text_delta.h"
#include "masticrill/net/handshake_messages.h"
#include "masticrill/routing/prompt_report.h"
#include "masticrill/routing/rollout_evaluation.h"

namespace masticrill::net {

/// A list of upstreams that one control host reads for all, in the encoding of its reader.
struct SharedList {
  /// Changes with each reading that found another list, and never goes down; 0 for none.
  std::uint64_t version = 0;
  /// The list; empty where the receiver has this version already.
  std::string bytes;
  /// The time since the list was last read.
  std::int64_t age_ms = 0;

  friend bool operator==(const SharedList&, const SharedList&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->bytes, this->age_ms);
  }
};

/// Between control replicas: a newer list than this version?
struct SharedListRequest {
  static constexpr MessageType kType = MessageType::kSharedListRequest;
  std::uint64_t known_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->known_version);
  }
};

struct SharedListReply {
  static constexpr MessageType kType = MessageType::kSharedListReply;
  SharedList list;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->list);
  }
};

/// What an entry saw of a service's roll-out since the order: its target, and all other versions.
struct RolloutReport {
  ServiceId service;
  VersionId target;
  routing::VersionEvidence candidate;
  routing::VersionEvidence baseline;

  friend bool operator==(const RolloutReport&, const RolloutReport&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->target, this->candidate, this->baseline);
  }
};

/// Node to control: let me take new work.
struct LeaseRequest {
  static constexpr MessageType kType = MessageType::kLeaseRequest;
  NodeId node;
  NodeRole role = NodeRole::kEntry;
  IncarnationId incarnation;
  /// The configuration number that the node has in force.
  std::uint64_t known_number = 0;
  /// IP:PORT at which other processes reach the node, for the status page.
  std::string address;
  /// When the process started, in milliseconds since the Unix epoch: grows with each start.
  std::uint64_t started_at_ms = 0;
  /// On the roll-outs that run.
  std::vector<RolloutReport> rollouts = {};
  /// IP:PORT at which the node takes load notices of other entries; empty where it takes none.
  std::string load_address = {};
  /// The version of the shared list that the node has.
  std::uint64_t known_list_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->role, this->incarnation, this->known_number, this->address,
            this->started_at_ms, this->rollouts, this->load_address, this->known_list_version);
  }
};

struct LeaseReply {
  static constexpr MessageType kType = MessageType::kLeaseReply;
  bool granted = false;
  /// Length from the moment at which the node sent the request, in milliseconds.
  std::int64_t length_ms = 0;
  std::uint64_t number = 0;
  /// What the node needs to get to the number; absent when it is there already.
  std::optional<config::ConfigurationDelta> delta;
  /// Why not granted, with the remedy.
  std::string message;
  /// The entries that hold leases; they share limits that bind all of them together.
  std::uint32_t entry_count = 0;
  /// IP:PORT of the control hosts that take part in the group now, as far as is known.
  std::vector<std::string> control_hosts = {};
  /// Where the entries that hold leases take load notices.
  std::vector<std::string> load_addresses = {};
  SharedList list = {};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->granted, this->length_ms, this->number, this->delta, this->message,
            this->entry_count, this->control_hosts, this->load_addresses, this->list);
  }
};

/// Node to control: a lease request of a node that holds the text of the declaration apart from the
/// document and fetches its changes in pieces. A control host of an earlier program answers with an
/// error.
struct RenewRequest {
  static constexpr MessageType kType = MessageType::kRenewRequest;
  LeaseRequest lease;
  /// The digest of the text that the node holds; empty where it holds none.
  std::string text_digest;
  /// The update of which the node has the first `received_bytes`; empty where it has none.
  std::string update_id = {};
  std::uint64_t received_bytes = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->lease, this->text_digest, this->update_id, this->received_bytes);
  }
};

/// The changes of a text, one after the other. The first may begin from the empty text.
struct TextChanges {
  std::vector<config::TextDelta> changes;

  friend bool operator==(const TextChanges&, const TextChanges&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->changes);
  }
};

/// A piece of an encoded update of the text of the declaration.
struct TextPiece {
  /// Names the update: its bytes are the same at each host that gives it this id.
  std::string update_id;
  /// The size of the whole update.
  std::uint64_t update_bytes = 0;
  std::uint64_t offset = 0;
  std::string bytes;

  friend bool operator==(const TextPiece&, const TextPiece&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->update_id, this->update_bytes, this->offset, this->bytes);
  }
};

struct RenewReply {
  static constexpr MessageType kType = MessageType::kRenewReply;
  LeaseReply lease;
  /// The digest of the text that belongs to the number of the lease; empty where the text stands in
  /// the document.
  std::string text_digest = {};
  /// Of the update from the node's text to that one; empty where the node has the text.
  TextPiece piece = {};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->lease, this->text_digest, this->piece);
  }
};

/// Between control replicas: which additions to the replicated log does your program know? A
/// program from before the first of them answers with an error.
struct FeaturesRequest {
  static constexpr MessageType kType = MessageType::kFeaturesRequest;
  NodeId sender;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sender);
  }
};

/// The command that changes the text of the declaration.
inline constexpr const char* kDeclarationChangesFeature = "declaration-changes";

struct FeaturesReply {
  static constexpr MessageType kType = MessageType::kFeaturesReply;
  NodeId node;
  std::vector<std::string> features;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->features);
  }
};

/// How long requests have waited at an entry for first tokens that have not come, during a
/// service's roll-out: at its target, and at all other versions.
struct RolloutWaits {
  ServiceId service;
  VersionId target;
  std::map<routing::RequestGroup, routing::LatencyHistogram> candidate;
  std::map<routing::RequestGroup, routing::LatencyHistogram> baseline;

  friend bool operator==(const RolloutWaits&, const RolloutWaits&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->target, this->candidate, this->baseline);
  }
};

/// Entry to control, beside its lease requests: what it has seen of callers and upstreams. A
/// control host of an earlier program answers with an error.
struct EntryReport {
  static constexpr MessageType kType = MessageType::kEntryReport;
  NodeId node;
  IncarnationId incarnation;
  /// As in LeaseRequest.
  std::string load_address;
  /// Requests of callers that it receives, in tenths a second.
  std::uint32_t demand = 0;
  routing::PromptReport prompts;
  /// On the roll-outs that run.
  std::vector<RolloutWaits> waits = {};

  friend bool operator==(const EntryReport&, const EntryReport&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->incarnation, this->load_address, this->demand, this->prompts,
            this->waits);
  }
};

/// The requests that the entry at a load address receives, in tenths a second.
struct EntryDemand {
  std::string load_address;
  std::uint32_t demand = 0;

  friend bool operator==(const EntryDemand&, const EntryDemand&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->load_address, this->demand);
  }
};

struct EntryReportReply {
  static constexpr MessageType kType = MessageType::kEntryReportReply;
  /// The prompt parts that the next report shall answer for.
  std::vector<PromptPartId> suspect_parts;
  std::vector<EntryDemand> demands;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->suspect_parts, this->demands);
  }
};

/// Between control replicas: what did entries report to you?
struct EntryReportsRequest {
  static constexpr MessageType kType = MessageType::kEntryReportsRequest;
  NodeId sender;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sender);
  }
};

/// The last report of an entry, and the time since it came.
struct AgedEntryReport {
  EntryReport report;
  std::int64_t age_ms = 0;

  friend bool operator==(const AgedEntryReport&, const AgedEntryReport&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->report, this->age_ms);
  }
};

struct EntryReportsReply {
  static constexpr MessageType kType = MessageType::kEntryReportsReply;
  std::vector<AgedEntryReport> reports;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->reports);
  }
};

/// Node to control: commit these commands, in order.
struct ProposeRequest {
  static constexpr MessageType kType = MessageType::kProposeRequest;
  std::vector<std::string> commands;
  /// Set by a control replica that hands the request on to the leader. It is not handed on again.
  bool forwarded = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->commands, this->forwarded);
  }
};

struct ProposeReply {
  static constexpr MessageType kType = MessageType::kProposeReply;
  /// One result for each command.
  std::vector<std::string> results;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->results);
  }
};

/// Between control replicas; the payload is a consensus message in its own encoding.
struct ConsensusEnvelope {
  static constexpr MessageType kType = MessageType::kConsensus;
  NodeId sender;
  std::string payload;
  /// IP:PORT at which the sender takes messages.
  std::string address;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->payload, this->address);
  }
};

/// Between control replicas, when a group is formed: says who the receiver is, and asks it to
/// accept a membership when one is named.
struct FormRequest {
  static constexpr MessageType kType = MessageType::kFormRequest;
  /// An encoded consensus membership; empty to ask only.
  std::string membership;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->membership);
  }
};

struct FormReply {
  static constexpr MessageType kType = MessageType::kFormReply;
  NodeId node;
  /// The identity of the replica's data folder.
  std::string identity;
  /// The replica has neither log nor vote.
  bool is_empty = false;
  /// The encoded membership that the replica accepted for its group; empty when none.
  std::string membership;
  /// Every member has accepted that membership.
  bool formed = false;
  /// False for an observer, whose data folder does not outlive its process.
  bool may_vote = true;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->identity, this->is_empty, this->membership, this->formed,
            this->may_vote);
  }
};

/// Between control replicas: which nodes ask you for leases?
struct FleetRequest {
  static constexpr MessageType kType = MessageType::kFleetRequest;
  NodeId sender;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sender);
  }
};

/// One start of a node, as a control host last heard of it.
struct NodeReport {
  NodeId node;
  NodeRole role = NodeRole::kEntry;
  IncarnationId incarnation;
  std::uint64_t started_at_ms = 0;
  std::string address;
  /// The configuration number that the node has in force.
  std::uint64_t known_number = 0;
  /// Time since its last lease request.
  std::int64_t age_ms = 0;
  /// The control host that it asked.
  NodeId control_host;
  /// On the roll-outs that run.
  std::vector<RolloutReport> rollouts = {};
  std::string load_address = {};

  friend bool operator==(const NodeReport&, const NodeReport&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->role, this->incarnation, this->started_at_ms, this->address,
            this->known_number, this->age_ms, this->control_host, this->rollouts,
            this->load_address);
  }
};

struct FleetReply {
  static constexpr MessageType kType = MessageType::kFleetReply;
  std::vector<NodeReport> nodes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->nodes);
  }
};

enum class MemberAction : std::uint8_t {
  kAdd,
  kRemove,
  kJoin,   // Adds the sender itself, in the place of what its node was before it lost its disk.
  kLeave,  // Takes the sender's vote before its process ends, where that raises the tolerance.
};

/// Control replica to the leader: change the group of replicas.
struct MemberRequest {
  static constexpr MessageType kType = MessageType::kMemberRequest;
  MemberAction action = MemberAction::kAdd;
  NodeId node;
  /// IP:PORT of the replica to add.
  std::string address;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->action, this->node, this->address);
  }
};

struct MemberReply {
  static constexpr MessageType kType = MessageType::kMemberReply;
  /// What was done.
  std::string message;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->message);
  }
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_CONTROL_MESSAGES_H_
