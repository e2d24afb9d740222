#include "soak/membership_check.h"

#include <filesystem>
#include <set>
#include <tuple>

#include "masticrill/consensus/codec.h"
#include "masticrill/consensus/membership.h"
#include "masticrill/storage/file_log_storage.h"

namespace masticrill::soak {
namespace {

/// The membership that a replica would start with, and how new its log is.
struct StoredMembership {
  storage::DataFolderId identity;
  storage::Term term = 0;
  storage::Index index = 0;
  consensus::Membership membership;
};

Result<StoredMembership> Load(const std::string& replica_folder) {
  // Loading repairs and locks a folder, so a copy is read.
  const std::string copy = replica_folder + "-copy";
  std::filesystem::remove_all(copy);
  std::filesystem::copy(replica_folder, copy, std::filesystem::copy_options::recursive);
  storage::PosixFiles files;
  storage::FileLogStorage<> storage({.folder = copy}, files);
  BOOST_LEAF_AUTO(state, storage.Load());
  StoredMembership stored;
  stored.identity = state.identity;
  std::string encoded;
  if (state.snapshot != nullptr) {
    stored.term = state.snapshot->term;
    stored.index = state.snapshot->index;
    encoded = state.snapshot->membership;
  }
  for (const storage::LogEntry& entry : state.entries) {
    std::tie(stored.term, stored.index) = std::tie(entry.term, entry.index);
    if (entry.kind == storage::EntryKind::kMembership) {
      encoded = entry.payload;
    }
  }
  if (!encoded.empty()) {
    BOOST_LEAF_ASSIGN(stored.membership, consensus::DecodeMembership(encoded));
  }
  return stored;
}

}  // namespace

void CheckMembership(Fleet& fleet, Timeline& timeline) {
  StoredMembership newest;
  std::set<consensus::ReplicaId> running;
  for (const Host* host : fleet.DiskHosts()) {
    HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(stored, Load(fleet.DataFolder(*host) + "/replica"));
          running.insert({NodeId(fleet.ControlAddress(*host)), stored.identity});
          if (std::tie(stored.term, stored.index) > std::tie(newest.term, newest.index)) {
            newest = stored;
          }
          return true;
        },
        [&](const Error& error) {
          timeline.Fail("MEMBERS", "the disk of host " + std::to_string(host->number) +
                                       " cannot be read: " + error.message);
          return false;
        });
  }
  const consensus::Membership& membership = newest.membership;
  for (const consensus::ReplicaId& replica : running) {
    if (!membership.IsVoter(replica)) {
      timeline.Fail("MEMBERS", replica.node.Value() + " has run for long and is no voter");
    }
  }
  for (const consensus::ReplicaId& voter : membership.voters) {
    if (!running.contains(voter)) {
      timeline.Fail("MEMBERS",
                    "a voter is gone: " + voter.node.Value() + " " + voter.identity.Value());
    }
  }
}

}  // namespace masticrill::soak
