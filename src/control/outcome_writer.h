#ifndef MASTICRILL_CONTROL_OUTCOME_WRITER_H_
#define MASTICRILL_CONTROL_OUTCOME_WRITER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "control/outcome_log.h"
#include "control/periodic_thread.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// Copies the records of the replicated state to the outcome log, on a thread of its own. A
/// failed write is retried, with the records that are still retained. Getters are thread-safe.
class OutcomeWriter {
 public:
  /// Opens the log, and sets damaged files of it aside: the replica does not need them, and the
  /// other control hosts have their records. `state` must outlive the writer.
  static Result<std::unique_ptr<OutcomeWriter>> Start(const std::string& data_folder,
                                                      const state::ReplicatedState& state);

  /// Ends the thread and writes the remaining records.
  void Stop();

  std::uint64_t LastSequence() const { return this->last_sequence; }
  std::uint64_t Gaps() const { return this->gaps; }
  /// Whether the last write failed.
  bool Failed() const { return this->failed; }
  const std::string& Folder() const { return this->folder; }

 private:
  OutcomeWriter(std::string folder, const state::ReplicatedState& state);

  Result<void> OpenLog();
  Duration Write();
  bool WriteBatch();

  std::string folder;
  const state::ReplicatedState& state;
  OutcomeLog log;
  std::atomic<std::uint64_t> last_sequence = 0;
  std::atomic<std::uint64_t> gaps = 0;
  std::atomic<bool> failed = false;
  std::unique_ptr<PeriodicThread> thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_OUTCOME_WRITER_H_
