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

template <std::unsigned_integral Integer>
void AppendInteger(Integer number, std::string& out) {
  for (std::size_t byte = 0; byte < sizeof(Integer); ++byte) {
    out += static_cast<char>(static_cast<std::uint64_t>(number) >> (8 * byte) & 0xffU);
  }
}

/// Reads integers and strings from the front of a byte string. From the first read beyond the end
/// on, integers are 0 and strings are empty.
class Reader {
 public:
  explicit Reader(std::string_view data) : rest(data) {}

  template <std::unsigned_integral Integer>
  Integer ReadInteger() {
    const std::string_view bytes = this->ReadBytes(sizeof(Integer));
    std::uint64_t number = 0;
    for (std::size_t byte = 0; byte < bytes.size(); ++byte) {
      number |= std::uint64_t{static_cast<unsigned char>(bytes[byte])} << (8 * byte);
    }
    return static_cast<Integer>(number);
  }

  std::string_view ReadBytes(std::uint64_t count) {
    if (count > this->rest.size()) {
      this->complete = false;
      this->rest = {};
      return {};
    }
    const std::string_view bytes = this->rest.substr(0, count);
    this->rest.remove_prefix(count);
    return bytes;
  }

  std::string ReadText() {
    return std::string(this->ReadBytes(this->ReadInteger<std::uint64_t>()));
  }

  std::string_view Rest() const { return this->rest; }
  bool Complete() const { return this->complete; }

 private:
  std::string_view rest;
  bool complete = true;
};

void AppendText(std::string_view text, std::string& out) {
  AppendInteger(std::uint64_t{text.size()}, out);
  out += text;
}

}  // namespace

void AppendRecord(RecordType type, std::uint64_t synced_bytes, const LogEntry& entry,
                  std::string& out) {
  std::string body;
  body.reserve(kMinRecordBodyBytes + entry.payload.size());
  AppendInteger(static_cast<std::uint8_t>(type), body);
  AppendInteger(synced_bytes, body);
  AppendInteger(entry.index, body);
  AppendInteger(entry.term, body);
  AppendInteger(static_cast<std::uint8_t>(entry.kind), body);
  body += entry.payload;
  AppendInteger(static_cast<std::uint32_t>(body.size()), out);
  AppendInteger(Crc32(body), out);
  out += body;
}

std::optional<Record> ReadRecord(std::string_view data) {
  Reader header(data);
  const auto length = header.ReadInteger<std::uint32_t>();
  const auto checksum = header.ReadInteger<std::uint32_t>();
  const std::string_view body = header.ReadBytes(length);
  if (!header.Complete() || length < kMinRecordBodyBytes || Crc32(body) != checksum) {
    return std::nullopt;
  }
  Reader reader(body);
  Record record;
  record.type = static_cast<RecordType>(reader.ReadInteger<std::uint8_t>());
  record.synced_bytes = reader.ReadInteger<std::uint64_t>();
  record.entry.index = reader.ReadInteger<std::uint64_t>();
  record.entry.term = reader.ReadInteger<std::uint64_t>();
  record.entry.kind = static_cast<EntryKind>(reader.ReadInteger<std::uint8_t>());
  record.entry.payload = reader.Rest();
  record.size = kRecordHeaderBytes + length;
  const bool known_type = record.type == RecordType::kEntry || record.type == RecordType::kTruncate;
  if (!known_type || record.entry.kind > EntryKind::kMembership) {
    return std::nullopt;
  }
  return record;
}

bool WasDurable(std::string_view segment, std::size_t offset) {
  std::size_t position = offset + 1;
  while (position < segment.size()) {
    const std::optional<Record> record = ReadRecord(segment.substr(position));
    if (record && record->synced_bytes > offset) {
      return true;
    }
    position += record ? record->size : 1;
  }
  return false;
}

std::string SegmentHeader(std::uint64_t number) {
  std::string header;
  AppendInteger(kSegmentMagic, header);
  AppendInteger(kFormatVersion, header);
  AppendInteger(number, header);
  AppendInteger(Crc32(header), header);
  header.resize(kSegmentHeaderBytes, '\0');
  return header;
}

FrameFault CheckSegmentHeader(std::string_view segment, std::uint64_t number) {
  Reader reader(segment);
  const auto magic = reader.ReadInteger<std::uint32_t>();
  const auto version = reader.ReadInteger<std::uint32_t>();
  if (magic == kSegmentMagic && version > kFormatVersion) {
    return FrameFault::kUnknownVersion;
  }
  return segment.starts_with(SegmentHeader(number)) ? FrameFault::kNone : FrameFault::kDamaged;
}

std::string FrameFile(std::string_view content) {
  std::string file;
  AppendInteger(kFileMagic, file);
  AppendInteger(kFormatVersion, file);
  AppendInteger(Crc32(content), file);
  AppendText(content, file);
  return file;
}

FramedContent UnframeFile(std::string_view file) {
  Reader reader(file);
  const auto magic = reader.ReadInteger<std::uint32_t>();
  const auto version = reader.ReadInteger<std::uint32_t>();
  const auto checksum = reader.ReadInteger<std::uint32_t>();
  const auto length = reader.ReadInteger<std::uint64_t>();
  const std::string_view content = reader.Rest();
  if (magic == kFileMagic && version > kFormatVersion) {
    return {FrameFault::kUnknownVersion};
  }
  const bool is_valid = magic == kFileMagic && version == kFormatVersion && reader.Complete() &&
                        length == content.size() && Crc32(content) == checksum;
  return is_valid ? FramedContent{FrameFault::kNone, content} : FramedContent{FrameFault::kDamaged};
}

std::string EncodeHardState(const HardState& hard_state) {
  std::string bytes;
  AppendInteger(hard_state.term, bytes);
  AppendText(hard_state.vote.node.Value(), bytes);
  AppendText(hard_state.vote.identity.Value(), bytes);
  return bytes;
}

std::optional<HardState> DecodeHardState(std::string_view bytes) {
  Reader reader(bytes);
  HardState hard_state;
  hard_state.term = reader.ReadInteger<std::uint64_t>();
  hard_state.vote.node = NodeId(reader.ReadText());
  hard_state.vote.identity = DataFolderId(reader.ReadText());
  return reader.Complete() ? std::optional(hard_state) : std::nullopt;
}

std::string EncodeSnapshot(const Snapshot& snapshot) {
  std::string bytes;
  AppendInteger(snapshot.index, bytes);
  AppendInteger(snapshot.term, bytes);
  AppendText(snapshot.membership, bytes);
  AppendText(snapshot.data, bytes);
  return bytes;
}

std::optional<Snapshot> DecodeSnapshot(std::string_view bytes) {
  Reader reader(bytes);
  Snapshot snapshot;
  snapshot.index = reader.ReadInteger<std::uint64_t>();
  snapshot.term = reader.ReadInteger<std::uint64_t>();
  snapshot.membership = reader.ReadText();
  snapshot.data = reader.ReadText();
  return reader.Complete() ? std::optional(std::move(snapshot)) : std::nullopt;
}

}  // namespace masticrill::storage
