#include "masticrill/consensus/codec.h"

#include <doctest/doctest.h>

namespace masticrill::consensus {
namespace {

/// The message after a round trip; nothing when it cannot be decoded, which must be malformed.
std::optional<Message> TryDecode(std::string_view bytes) {
  return HandleErrors(
      [&]() -> Result<std::optional<Message>> {
        BOOST_LEAF_AUTO(message, DecodeMessage(bytes));
        return std::optional<Message>(std::move(message));
      },
      [](const Error& error) {
        CHECK(error.kind == ErrorKind::kMalformedMessage);
        return std::optional<Message>();
      });
}

std::vector<Message> OneOfEach() {
  const ReplicaId from{NodeId("control-a"), DataFolderId("0011223344556677")};
  const ReplicaId to{NodeId("control-b"), DataFolderId("8899aabbccddeeff")};
  const std::vector<MessageBody> bodies = {
      PreVoteRequest{7, 3},
      PreVoteResponse{true},
      VoteRequest{7, 3, true},
      VoteResponse{true},
      AppendRequest{7, 3, 6, 12, {{8, 3, EntryKind::kCommand, "claim"}}},
      AppendResponse{true, 8, 12},
      SnapshotRequest{9, 3, 12, "members", 4, 8, "part"},
      SnapshotResponse{9, 12, 8, true},
      TransferRequest{},
      ReadRequest{77},
      ReadResponse{77, true, 8},
  };
  std::vector<Message> messages;
  for (const MessageBody& body : bodies) {
    messages.push_back({from, to, 5, body});
  }
  return messages;
}

TEST_CASE("each kind of message survives a round trip") {
  CHECK(OneOfEach().size() == std::variant_size_v<MessageBody>);
  for (const Message& message : OneOfEach()) {
    CHECK(TryDecode(EncodeMessage(message)) == message);
  }
}

TEST_CASE("a message that is cut or extended is malformed, and no altered byte does harm") {
  for (const Message& message : OneOfEach()) {
    const std::string bytes = EncodeMessage(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(TryDecode(bytes.substr(0, size)));
    }
    CHECK_FALSE(TryDecode(bytes + "x"));
    for (std::size_t place = 0; place < bytes.size(); ++place) {
      std::string altered = bytes;
      altered[place] = static_cast<char>(altered[place] ^ 0x7f);
      // Either malformed or a message of the same length; a forged length allocates nothing.
      if (const std::optional<Message> decoded = TryDecode(altered)) {
        CHECK(EncodeMessage(*decoded).size() == altered.size());
      }
    }
  }
}

}  // namespace
}  // namespace masticrill::consensus
