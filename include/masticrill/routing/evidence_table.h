#ifndef MASTICRILL_ROUTING_EVIDENCE_TABLE_H_
#define MASTICRILL_ROUTING_EVIDENCE_TABLE_H_

#include <map>
#include <mutex>

#include "masticrill/common/name.h"
#include "masticrill/routing/load.h"
#include "masticrill/routing/rollout_evaluation.h"

namespace masticrill::routing {

/// Counts the attempt results and ratings of all versions that one entry has seen. Safe for use by
/// several threads.
class EvidenceTable {
 public:
  explicit EvidenceTable(EvidenceSettings settings = {});

  void Add(const ModelVersion& version, const FailureDomainId& domain, const AttemptResult& result);
  void AddFirstToken(const ModelVersion& version, const FailureDomainId& domain,
                     const RequestGroup& group, Duration latency);
  void AddRating(const ModelVersion& version, const FailureDomainId& domain, double score);
  VersionEvidence Read(const ModelVersion& version) const;
  /// The merged evidence on all other versions of the model.
  VersionEvidence ReadOtherVersions(const ModelVersion& version) const;
  /// Clears the evidence on all versions of a model or service, when its roll-out begins.
  void ResetModel(const ModelId& model);
  /// Clears the evidence on a version, when a roll-out of its model begins.
  void Reset(const ModelVersion& version);

 private:
  EvidenceSettings settings;
  mutable std::mutex mutex;
  std::map<ModelVersion, VersionEvidence> versions;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_EVIDENCE_TABLE_H_
