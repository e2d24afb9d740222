#ifndef MASTICRILL_CONSENSUS_PERSIST_H_
#define MASTICRILL_CONSENSUS_PERSIST_H_

#include "masticrill/consensus/replica.h"
#include "masticrill/storage/log_storage.h"

namespace masticrill::consensus {

/// Writes what the change names and syncs it. The term goes first, since no entry of a term may be
/// durable before the term; the snapshot goes before entries that follow it. Returns what to tell
/// the replica.
template <storage::LogStorage Storage>
Result<PersistedEvent> Persist(Storage& storage, const Replica& replica,
                               const DurableChange& change) {
  if (change.hard_state) {
    BOOST_LEAF_CHECK(storage.SaveHardState(replica.CurrentHardState()));
  }
  if (change.first_changed != 0) {
    BOOST_LEAF_CHECK(storage.TruncateSuffix(change.first_changed));
  }
  if (change.snapshot) {
    BOOST_LEAF_CHECK(storage.SaveSnapshot(*replica.CurrentSnapshot()));
  }
  if (change.first_changed != 0) {
    const Index first = std::max(change.first_changed, replica.Log().BaseIndex() + 1);
    BOOST_LEAF_CHECK(storage.Append(replica.Log().Suffix(first)));
    BOOST_LEAF_CHECK(storage.Sync());
  }
  if (change.compact_to != 0) {
    BOOST_LEAF_CHECK(storage.CompactPrefix(change.compact_to));
  }
  return PersistedEvent{replica.CurrentHardState().term, replica.Log().LastIndex(),
                        replica.Log().LastTerm()};
}

}  // namespace masticrill::consensus

#endif  // MASTICRILL_CONSENSUS_PERSIST_H_
