#include "storage/record.h"

#include <concepts>

#include "masticrill/common/hash.h"

namespace masticrill::storage {
namespace {

constexpr std::uint32_t kFormatVersion = 1;
constexpr std::uint32_t kSegmentMagic = 0x474c524dU;  // "MRLG"
constexpr std::uint32_t kFileMagic = 0x4c46524dU;     // "MRFL"
constexpr std::size_t kRecordHeaderBytes = 8;
constexpr std::size_t kMinRecordBodyBytes = 26;

template <std::unsigned_integral Number>
void Put(Number number, std::string& out) {
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte) {
    out += static_cast<char>(static_cast<std::uint64_t>(number) >> (8 * byte) & 0xffU);
  }
}

/// Takes numbers and strings from the front of a byte string. After a short read all are empty.
class Reader {
 public:
  explicit Reader(std::string_view data) : rest(data) {}

  template <std::unsigned_integral Number>
  Number Take() {
    const std::string_view bytes = this->TakeBytes(sizeof(Number));
    std::uint64_t number = 0;
    for (std::size_t byte = 0; byte < bytes.size(); ++byte) {
      number |= std::uint64_t{static_cast<unsigned char>(bytes[byte])} << (8 * byte);
    }
    return static_cast<Number>(number);
  }

  std::string_view TakeBytes(std::uint64_t count) {
    if (count > this->rest.size()) {
      this->complete = false;
      this->rest = {};
      return {};
    }
    const std::string_view bytes = this->rest.substr(0, count);
    this->rest.remove_prefix(count);
    return bytes;
  }

  std::string TakeText() { return std::string(this->TakeBytes(this->Take<std::uint64_t>())); }

  std::string_view Rest() const { return this->rest; }
  bool Complete() const { return this->complete; }

 private:
  std::string_view rest;
  bool complete = true;
};

void PutText(std::string_view text, std::string& out) {
  Put(std::uint64_t{text.size()}, out);
  out += text;
}

}  // namespace

void AppendRecord(RecordType type, std::uint64_t synced_bytes, const LogEntry& entry,
                  std::string& out) {
  std::string body;
  body.reserve(kMinRecordBodyBytes + entry.payload.size());
  Put(static_cast<std::uint8_t>(type), body);
  Put(synced_bytes, body);
  Put(entry.index, body);
  Put(entry.term, body);
  Put(static_cast<std::uint8_t>(entry.kind), body);
  body += entry.payload;
  Put(static_cast<std::uint32_t>(body.size()), out);
  Put(Crc32(body), out);
  out += body;
}

std::optional<Record> ReadRecord(std::string_view data) {
  Reader header(data);
  const auto length = header.Take<std::uint32_t>();
  const auto checksum = header.Take<std::uint32_t>();
  const std::string_view body = header.TakeBytes(length);
  if (!header.Complete() || length < kMinRecordBodyBytes || Crc32(body) != checksum) {
    return std::nullopt;
  }
  Reader reader(body);
  Record record;
  record.type = static_cast<RecordType>(reader.Take<std::uint8_t>());
  record.synced_bytes = reader.Take<std::uint64_t>();
  record.entry.index = reader.Take<std::uint64_t>();
  record.entry.term = reader.Take<std::uint64_t>();
  record.entry.kind = static_cast<EntryKind>(reader.Take<std::uint8_t>());
  record.entry.payload = reader.Rest();
  record.size = kRecordHeaderBytes + length;
  const bool known_type = record.type == RecordType::kEntry || record.type == RecordType::kTruncate;
  if (!known_type || record.entry.kind > EntryKind::kMembership) {
    return std::nullopt;
  }
  return record;
}

bool WasDurable(std::string_view segment, std::size_t offset) {
  std::size_t place = offset + 1;
  while (place < segment.size()) {
    const std::optional<Record> record = ReadRecord(segment.substr(place));
    if (record && record->synced_bytes > offset) {
      return true;
    }
    place += record ? record->size : 1;
  }
  return false;
}

std::string SegmentHeader(std::uint64_t number) {
  std::string header;
  Put(kSegmentMagic, header);
  Put(kFormatVersion, header);
  Put(number, header);
  Put(Crc32(header), header);
  header.resize(kSegmentHeaderBytes, '\0');
  return header;
}

FrameFault CheckSegmentHeader(std::string_view segment, std::uint64_t number) {
  Reader reader(segment);
  const auto magic = reader.Take<std::uint32_t>();
  const auto version = reader.Take<std::uint32_t>();
  if (magic == kSegmentMagic && version > kFormatVersion) {
    return FrameFault::kUnknownVersion;
  }
  return segment.starts_with(SegmentHeader(number)) ? FrameFault::kNone : FrameFault::kDamaged;
}

std::string FrameFile(std::string_view content) {
  std::string file;
  Put(kFileMagic, file);
  Put(kFormatVersion, file);
  Put(Crc32(content), file);
  PutText(content, file);
  return file;
}

FramedContent UnframeFile(std::string_view file) {
  Reader reader(file);
  const auto magic = reader.Take<std::uint32_t>();
  const auto version = reader.Take<std::uint32_t>();
  const auto checksum = reader.Take<std::uint32_t>();
  const auto length = reader.Take<std::uint64_t>();
  const std::string_view content = reader.Rest();
  if (magic == kFileMagic && version > kFormatVersion) {
    return {FrameFault::kUnknownVersion};
  }
  const bool sound = magic == kFileMagic && version == kFormatVersion && reader.Complete() &&
                     length == content.size() && Crc32(content) == checksum;
  return sound ? FramedContent{FrameFault::kNone, content} : FramedContent{FrameFault::kDamaged};
}

std::string EncodeHardState(const HardState& hard_state) {
  std::string bytes;
  Put(hard_state.term, bytes);
  PutText(hard_state.vote.node.Value(), bytes);
  PutText(hard_state.vote.identity.Value(), bytes);
  return bytes;
}

std::optional<HardState> DecodeHardState(std::string_view bytes) {
  Reader reader(bytes);
  HardState hard_state;
  hard_state.term = reader.Take<std::uint64_t>();
  hard_state.vote.node = NodeId(reader.TakeText());
  hard_state.vote.identity = DataFolderId(reader.TakeText());
  return reader.Complete() ? std::optional(hard_state) : std::nullopt;
}

std::string EncodeSnapshot(const Snapshot& snapshot) {
  std::string bytes;
  Put(snapshot.index, bytes);
  Put(snapshot.term, bytes);
  PutText(snapshot.membership, bytes);
  PutText(snapshot.data, bytes);
  return bytes;
}

std::optional<Snapshot> DecodeSnapshot(std::string_view bytes) {
  Reader reader(bytes);
  Snapshot snapshot;
  snapshot.index = reader.Take<std::uint64_t>();
  snapshot.term = reader.Take<std::uint64_t>();
  snapshot.membership = reader.TakeText();
  snapshot.data = reader.TakeText();
  return reader.Complete() ? std::optional(std::move(snapshot)) : std::nullopt;
}

}  // namespace masticrill::storage
