#include "control/outcome_writer.h"

#include <optional>
#include <utility>

#include "masticrill/common/log.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr Duration kWriteInterval = milliseconds(100);
constexpr Duration kRetryInterval = milliseconds(1000);
constexpr std::size_t kMaxRecordsPerWrite = 4096;

}  // namespace

OutcomeWriter::OutcomeWriter(std::string folder, const state::ReplicatedState& state)
    : folder(folder), state(state), log(std::move(folder)) {}

Result<std::unique_ptr<OutcomeWriter>> OutcomeWriter::Start(const std::string& data_folder,
                                                            const state::ReplicatedState& state) {
  std::unique_ptr<OutcomeWriter> writer(new OutcomeWriter(data_folder + "/outcomes", state));
  BOOST_LEAF_CHECK(writer->OpenLog());
  writer->last_sequence = writer->log.Last().sequence;
  writer->thread = std::make_unique<PeriodicThread>([raw = writer.get()] { return raw->Write(); });
  return writer;
}

Result<void> OutcomeWriter::OpenLog() {
  while (true) {
    const std::optional<Error> error = HandleErrors(
        [&]() -> Result<std::optional<Error>> {
          BOOST_LEAF_CHECK(this->log.Open());
          return std::optional<Error>();
        },
        [](const Error& failure) { return std::optional<Error>(failure); });
    if (!error) {
      return {};
    }
    if (error->kind != ErrorKind::kCorruptStorage) {
      return Fail(*error);
    }
    kLog.Error("A file of the outcome log is damaged; setting it aside.",
               {{"cause", error->message}});
    BOOST_LEAF_CHECK(this->log.SetLastFileAside());
  }
}

void OutcomeWriter::Stop() {
  if (this->thread != nullptr) {
    this->thread->Stop();
    this->thread.reset();
    this->Write();
  }
}

Duration OutcomeWriter::Write() {
  while (this->WriteBatch()) {
  }
  return this->failed ? kRetryInterval : kWriteInterval;
}

/// Writes the next batch of records. Returns whether more may be pending.
bool OutcomeWriter::WriteBatch() {
  const auto records = this->state.RecordsAfter(this->log.Last().sequence, kMaxRecordsPerWrite);
  const bool written = HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(this->log.Append(records));
        return true;
      },
      [&](const Error& error) {
        if (!this->failed) {
          kLog.Error("Writing the outcome log failed; retrying until the disk takes the records.",
                     {{"cause", error.message}});
        }
        return false;
      });
  if (written && this->failed && !records.empty()) {
    kLog.Info("The outcome log is written again.", {{"sequence", this->log.Last().sequence}});
  }
  this->failed = !written;
  this->last_sequence = this->log.Last().sequence;
  this->gaps = this->log.Gaps();
  return written && records.size() == kMaxRecordsPerWrite;
}

}  // namespace masticrill::control
