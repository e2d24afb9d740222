#ifndef MASTICRILL_ROUTING_EVIDENCE_TABLE_H_
#define MASTICRILL_ROUTING_EVIDENCE_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/routing/load.h"
#include "masticrill/routing/rollout_evaluation.h"

namespace masticrill::routing {

/// Counts the attempt results and ratings of all versions that one entry has seen. Safe for use by
/// several threads.
class EvidenceTable {
 public:
  explicit EvidenceTable(EvidenceSettings settings = {});

  /// Identifies a request that waits for its first token.
  using WaitId = std::uint64_t;
  /// Call one of the two functions that end the wait for each wait that is begun.
  WaitId BeginWait(const ModelVersion& version, const RequestGroup& group, TimePoint now);
  /// The first token has come, or nothing is learned from the wait.
  void EndWait(WaitId wait);
  /// The request was given up; its first token would have come later than now.
  void AbandonWait(WaitId wait, TimePoint now);

  void Add(const ModelVersion& version, const FailureDomainId& domain, const AttemptResult& result);
  void AddFirstToken(const ModelVersion& version, const FailureDomainId& domain,
                     const RequestGroup& group, Duration latency);
  void AddRating(const ModelVersion& version, const FailureDomainId& domain, double score);
  /// The evidence on a version, with the waits as of now.
  VersionEvidence Read(const ModelVersion& version, TimePoint now) const;
  /// The merged evidence on all other versions of the model.
  VersionEvidence ReadOtherVersions(const ModelVersion& version, TimePoint now) const;
  /// Clears the evidence on all versions of a model or service, when its roll-out begins.
  void ResetModel(const ModelId& model);
  /// Clears the evidence on a version, when a roll-out of its model begins.
  void Reset(const ModelVersion& version);

 private:
  struct Wait {
    ModelVersion version;
    RequestGroup group;
    TimePoint begun_at;
  };

  EvidenceSettings settings;
  mutable std::mutex mutex;
  std::map<ModelVersion, VersionEvidence> versions;
  /// Requests whose first tokens have not come. Bounded by the requests in progress.
  std::map<WaitId, Wait> waits;
  WaitId next_wait = 1;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_EVIDENCE_TABLE_H_
