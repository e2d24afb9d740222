#ifndef MASTICRILL_SRC_STORAGE_RECORD_H_
#define MASTICRILL_SRC_STORAGE_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticrill/storage/types.h"

/// The binary form of the storage's files. Numbers are little-endian.
namespace masticrill::storage {

enum class RecordType : std::uint8_t {
  kEntry = 1,     // Replaces the stored entries from its index on.
  kTruncate = 2,  // Removes the stored entries from its index on.
};

struct Record {
  RecordType type = RecordType::kEntry;
  /// How many bytes of the segment were durable when the record was written.
  std::uint64_t synced_bytes = 0;
  /// For a kTruncate record, only the index is used.
  LogEntry entry;
  /// The size of the record in the segment, in bytes.
  std::size_t size = 0;
};

void AppendRecord(RecordType type, std::uint64_t synced_bytes, const LogEntry& entry,
                  std::string& out);

/// Reads the record at the start of the data; returns nothing when the record is incomplete or
/// damaged.
std::optional<Record> ReadRecord(std::string_view data);

/// Returns whether a later record shows that the bytes at `offset` were durable. If so, invalid
/// bytes there were damaged later; otherwise they may be a write that a crash interrupted.
bool WasDurable(std::string_view segment, std::size_t offset);

/// Returns the header of segment `number`.
std::string SegmentHeader(std::uint64_t number);
inline constexpr std::size_t kSegmentHeaderBytes = 24;

/// Returns the bytes of a file that is always replaced as a whole: a header with the format
/// version, the checksum and the length, then the content.
std::string FrameFile(std::string_view content);

enum class FrameFault { kNone, kDamaged, kUnknownVersion };

struct FramedContent {
  FrameFault fault = FrameFault::kNone;
  std::string_view content = {};
};

FramedContent UnframeFile(std::string_view file);
/// Checks that the segment starts with the header of segment `number`.
FrameFault CheckSegmentHeader(std::string_view segment, std::uint64_t number);

std::string EncodeHardState(const HardState& hard_state);
std::optional<HardState> DecodeHardState(std::string_view bytes);
std::string EncodeSnapshot(const Snapshot& snapshot);
std::optional<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace masticrill::storage

#endif  // MASTICRILL_SRC_STORAGE_RECORD_H_
