#include "masticrill/net/body_decoder.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace masticrill::net {
namespace {

/// What became of bytes that were fed in pieces of a size.
struct Decoded {
  std::string body;
  std::string rest;
  bool done = false;
  bool malformed = false;
};

Decoded Decode(BodyDecoder decoder, const std::string& bytes, std::size_t piece) {
  Decoded result;
  for (std::size_t begin = 0; begin < bytes.size(); begin += piece) {
    std::string_view input = std::string_view(bytes).substr(begin, piece);
    decoder.Feed(input, result.body);
    result.rest += input;
  }
  result.done = decoder.Done();
  result.malformed = decoder.Malformed();
  return result;
}

constexpr std::array<std::size_t, 4> kPieces = {1, 2, 7, 1000};

TEST_CASE("a chunked body is decoded whatever its pieces, and bytes behind it are left") {
  const std::string bytes = "4\r\nabcd\r\n6;x=1\r\nefghij\r\n0\r\nTrailer: 1\r\n\r\nNEXT";
  for (const std::size_t piece : kPieces) {
    const Decoded decoded = Decode(BodyDecoder(BodyFraming::kChunked), bytes, piece);
    CHECK(decoded.body == "abcdefghij");
    CHECK(decoded.rest == "NEXT");
    CHECK(decoded.done);
  }
}

TEST_CASE("a chunked body that is cut anywhere is not done") {
  const std::string bytes = "4\r\nabcd\r\n0\r\n\r\n";
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const Decoded decoded =
        Decode(BodyDecoder(BodyFraming::kChunked), bytes.substr(0, size), bytes.size());
    CHECK_FALSE(decoded.done);
    CHECK_FALSE(decoded.malformed);
  }
}

TEST_CASE("broken framing is told from a body") {
  const std::array<std::string, 6> broken = {"x\r\nabcd\r\n",  "\r\nabcd\r\n",
                                             "4\r\nabcdX\r\n", "-4\r\nabcd\r\n",
                                             "4\nabcd\n",      std::string(3000, '1')};
  for (const std::string& bytes : broken) {
    CAPTURE(bytes);
    CHECK(Decode(BodyDecoder(BodyFraming::kChunked), bytes, bytes.size()).malformed);
  }
}

TEST_CASE("a body of a length ends there, and one until the close never does") {
  const Decoded with_length = Decode(BodyDecoder(BodyFraming::kLength, 3), "abcdef", 2);
  CHECK(with_length.body == "abc");
  CHECK(with_length.rest == "def");
  CHECK(with_length.done);
  CHECK_FALSE(Decode(BodyDecoder(BodyFraming::kLength, 3), "ab", 1).done);
  CHECK(Decode(BodyDecoder(BodyFraming::kLength, 0), "", 1).done);

  const Decoded until_close = Decode(BodyDecoder(BodyFraming::kUntilClose), "abcdef", 4);
  CHECK(until_close.body == "abcdef");
  CHECK_FALSE(until_close.done);
}

}  // namespace
}  // namespace masticrill::net
