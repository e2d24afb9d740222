#ifndef MASTICRILL_NET_BODY_DECODER_H_
#define MASTICRILL_NET_BODY_DECODER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace masticrill::net {

/// How the end of a message's body is told (RFC 9112, section 6).
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

/// Removes the framing from the bytes of one HTTP/1.1 body. Unlike a plain stream it tells a body
/// that was cut from one that is whole.
class BodyDecoder {
 public:
  BodyDecoder() = default;
  explicit BodyDecoder(BodyFraming framing, std::uint64_t length = 0);

  /// Takes bytes off the front of `input` and appends the body's bytes to `output`. Bytes behind
  /// the body's end stay in `input`.
  void Feed(std::string_view& input, std::string& output);

  /// The whole body was fed. Never true for kUntilClose, whose end is that of the connection.
  bool Done() const { return this->state == State::kDone; }
  /// The framing is broken; nothing more is decoded.
  bool Malformed() const { return this->state == State::kMalformed; }
  BodyFraming Framing() const { return this->framing; }
  /// The bytes that are still to come of the body, or of its present chunk.
  std::uint64_t BytesLeft() const { return this->left; }

 private:
  enum class State { kData, kChunkSize, kChunkEnd, kTrailer, kDone, kMalformed };

  void TakeData(std::string_view& input, std::string& output);
  void TakeLine(std::string_view& input);
  void OnLine();

  BodyFraming framing = BodyFraming::kNone;
  State state = State::kDone;
  std::uint64_t left = 0;
  std::string line;
  std::size_t trailer_bytes = 0;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_BODY_DECODER_H_
