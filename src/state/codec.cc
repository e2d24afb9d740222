#include "masticrill/state/codec.h"

#include "state/archive.h"

namespace masticrill::state {
namespace {

template <typename Value>
std::string Encode(const Value& value) {
  std::string bytes;
  ByteWriter writer(bytes);
  writer(value);
  return bytes;
}

template <typename Value>
Result<Value> Decode(std::string_view bytes, std::string_view kind) {
  if (bytes.size() > kMaxCommandBytes) {
    return Fail(ErrorKind::kMalformedMessage, "The " + std::string(kind) + " is larger than " +
                                                  std::to_string(kMaxCommandBytes) +
                                                  " bytes. Send it in smaller parts.");
  }
  try {
    Value value;
    ByteReader reader(bytes);
    reader(value);
    reader.ExpectEnd();
    return value;
  } catch (const cereal::Exception& exception) {
    return Fail(ErrorKind::kMalformedMessage,
                "The " + std::string(kind) + " cannot be read: " + exception.what() +
                    " Check that both processes run the same version.");
  }
}

struct SerializedRecord {
  std::uint64_t sequence = 0;
  Record record;
  std::string hash;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sequence, this->record, this->hash);
  }
};

}  // namespace

std::string EncodeCommand(const Command& command) { return Encode(command); }

Result<Command> DecodeCommand(std::string_view bytes) { return Decode<Command>(bytes, "command"); }

std::string EncodeResult(const CommandResult& result) { return Encode(result); }

Result<CommandResult> DecodeResult(std::string_view bytes) {
  return Decode<CommandResult>(bytes, "result");
}

std::string EncodeRecord(const ChainedRecord& record) {
  return Encode(SerializedRecord{record.sequence, record.record, record.hash});
}

Result<ChainedRecord> DecodeRecord(std::string_view bytes) {
  BOOST_LEAF_AUTO(serialized, Decode<SerializedRecord>(bytes, "record"));
  return ChainedRecord{serialized.sequence, serialized.record, serialized.hash};
}

}  // namespace masticrill::state
