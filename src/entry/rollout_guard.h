#ifndef MASTICRILL_ENTRY_ROLLOUT_GUARD_H_
#define MASTICRILL_ENTRY_ROLLOUT_GUARD_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "entry/entry_services.h"
#include "masticrill/routing/rollout_evaluation.h"

namespace masticrill::entry {

/// Judges the roll-outs of the configuration in force by this entry's own evidence, and halts one
/// whose candidate is worse: by a numbered change, under the number that the judgement was made on.
/// A change that another entry made first makes this one stale, and it is judged again.
class RolloutGuard {
 public:
  explicit RolloutGuard(EntryServices& services);
  ~RolloutGuard();
  RolloutGuard(const RolloutGuard&) = delete;
  RolloutGuard& operator=(const RolloutGuard&) = delete;

  void Stop();

 private:
  void Run();
  void JudgeAll();
  void Judge(const config::Configuration& configuration, const ModelId& id,
             const config::Model& model);
  void Halt(const config::Configuration& configuration, const ModelId& id,
            const VersionId& candidate, const routing::RolloutDecision& decision);

  EntryServices& services;
  std::mutex mutex;
  std::condition_variable stopping;
  bool stopped = false;
  /// The candidate whose evidence is being gathered, by model.
  std::map<ModelId, VersionId> candidates;
  std::thread thread;
};

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_ROLLOUT_GUARD_H_
