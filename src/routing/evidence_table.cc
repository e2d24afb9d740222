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

EvidenceTable::WaitId EvidenceTable::BeginWait(const ModelVersion& version,
                                               const RequestGroup& group, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const WaitId wait = this->next_wait++;
  this->waits.emplace(wait, Wait{version, group, now});
  return wait;
}

void EvidenceTable::EndWait(WaitId wait) {
  const std::lock_guard lock(this->mutex);
  this->waits.erase(wait);
}

void EvidenceTable::AbandonWait(WaitId wait, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  if (const auto place = this->waits.find(wait); place != this->waits.end()) {
    const Wait& ended = place->second;
    this->versions[ended.version].AddWait(ended.group, now - ended.begun_at);
    this->waits.erase(place);
  }
}

VersionEvidence EvidenceTable::Read(const ModelVersion& version, TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->versions.find(version);
  VersionEvidence evidence = found == this->versions.end() ? VersionEvidence{} : found->second;
  for (const auto& [id, wait] : this->waits) {
    if (wait.version == version) {
      evidence.AddWait(wait.group, now - wait.begun_at);
    }
  }
  return evidence;
}

VersionEvidence EvidenceTable::ReadOtherVersions(const ModelVersion& version, TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  VersionEvidence merged;
  for (const auto& [other, evidence] : this->versions) {
    if (other.model == version.model && other.version != version.version) {
      merged.Merge(evidence);
    }
  }
  for (const auto& [id, wait] : this->waits) {
    if (wait.version.model == version.model && wait.version.version != version.version) {
      merged.AddWait(wait.group, now - wait.begun_at);
    }
  }
  return merged;
}

void EvidenceTable::ResetModel(const ModelId& model) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->versions, [&](const auto& entry) { return entry.first.model == model; });
  std::erase_if(this->waits,
                [&](const auto& entry) { return entry.second.version.model == model; });
}

void EvidenceTable::Reset(const ModelVersion& version) {
  const std::lock_guard lock(this->mutex);
  this->versions.erase(version);
}

}  // namespace masticrill::routing
