#ifndef MASTICRILL_SRC_NET_ANSWER_READER_H_
#define MASTICRILL_SRC_NET_ANSWER_READER_H_

#include <string>
#include <string_view>

#include "masticrill/common/clock.h"
#include "masticrill/net/http_message.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::net {

/// Reads one answer from a connection and tells one that was cut from one that is whole. Used by
/// one thread; the stream outlives it.
class AnswerReader {
 public:
  /// The result of reading a part of an answer.
  enum class ReadResult {
    kRead,     // The head or the next part of the body has been read.
    kWhole,    // The answer is whole; the last part of its body comes with this.
    kBroken,   // The connection ended too soon, or the bytes are no answer.
    kTimeout,  // The server was silent for too long.
  };

  /// `max_silence`: how long the server may send nothing.
  AnswerReader(SocketStream& stream, Duration max_silence)
      : stream(stream), max_silence(max_silence) {}

  /// Reads the head of the final answer to a request of that method; interim answers (1xx) are
  /// skipped. Never returns kWhole.
  ReadResult ReadHead(std::string_view method);
  /// Reads the next part of the body after the head was read. Returns kRead only with a part.
  ReadResult ReadPart(std::string& part);

  const AnswerHead& Head() const { return this->head; }
  /// Whether only the end of the connection tells the end of the answer.
  bool EndsWithConnection() const { return this->decoder.Framing() == BodyFraming::kUntilClose; }

 private:
  ReadResult ReadBlock(std::string& block);
  bool ParseHead(const std::string& block, std::string_view method);
  IoEnd Fill();

  SocketStream& stream;
  Duration max_silence;
  SystemClock clock;
  AnswerHead head;
  BodyDecoder decoder;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_SRC_NET_ANSWER_READER_H_
