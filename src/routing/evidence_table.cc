#include "masticrill/routing/evidence_table.h"

namespace masticrill::routing {

EvidenceTable::EvidenceTable(EvidenceSettings settings) : settings(settings) {}

void EvidenceTable::Add(const ModelVersion& version, const FailureDomainId& domain,
                        const AttemptResult& result) {
  const std::lock_guard lock(this->mutex);
  this->versions[version].Add(domain, result, this->settings);
}

void EvidenceTable::AddFirstToken(const ModelVersion& version, const FailureDomainId& domain,
                                  const RequestGroup& group, Duration latency) {
  const std::lock_guard lock(this->mutex);
  this->versions[version].AddFirstToken(domain, group, latency, this->settings);
}

void EvidenceTable::AddRating(const ModelVersion& version, const FailureDomainId& domain,
                              double score) {
  const std::lock_guard lock(this->mutex);
  this->versions[version].AddRating(domain, score, this->settings);
}

VersionEvidence EvidenceTable::Read(const ModelVersion& version) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->versions.find(version);
  return found == this->versions.end() ? VersionEvidence{} : found->second;
}

VersionEvidence EvidenceTable::ReadOtherVersions(const ModelVersion& version) const {
  const std::lock_guard lock(this->mutex);
  VersionEvidence merged;
  for (const auto& [other, evidence] : this->versions) {
    if (other.model == version.model && other.version != version.version) {
      merged.Merge(evidence);
    }
  }
  return merged;
}

void EvidenceTable::ResetModel(const ModelId& model) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->versions, [&](const auto& entry) { return entry.first.model == model; });
}

void EvidenceTable::Reset(const ModelVersion& version) {
  const std::lock_guard lock(this->mutex);
  this->versions.erase(version);
}

}  // namespace masticrill::routing
