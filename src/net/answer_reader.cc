#include "net/answer_reader.h"

namespace masticrill::net {
namespace {

constexpr std::size_t kMaxHeadBytes = std::size_t{64} << 10U;
constexpr int kMaxInterimAnswers = 16;
constexpr int kFirstFinalStatus = 200;

}  // namespace

IoEnd AnswerReader::Fill() { return this->stream.Fill(this->clock.Now() + this->max_silence); }

AnswerReader::ReadResult AnswerReader::ReadHead(std::string_view method) {
  for (int heads = 0; heads <= kMaxInterimAnswers; ++heads) {
    std::string block;
    if (const ReadResult result = this->ReadBlock(block); result != ReadResult::kRead) {
      return result;
    }
    if (!this->ParseHead(block, method)) {
      return ReadResult::kBroken;
    }
    if (this->head.status >= kFirstFinalStatus) {
      return ReadResult::kRead;
    }
  }
  return ReadResult::kBroken;
}

/// Reads a start line and header fields up to the empty line.
AnswerReader::ReadResult AnswerReader::ReadBlock(std::string& block) {
  while (true) {
    const std::string_view bytes = this->stream.Buffered();
    const std::size_t end = FindHeadEnd(bytes);
    if ((end == std::string_view::npos ? bytes.size() : end) > kMaxHeadBytes) {
      return ReadResult::kBroken;
    }
    if (end != std::string_view::npos) {
      block = std::string(bytes.substr(0, end));
      this->stream.Consume(end);
      return ReadResult::kRead;
    }
    if (const IoEnd filled = this->Fill(); filled != IoEnd::kDone) {
      return filled == IoEnd::kTimeout ? ReadResult::kTimeout : ReadResult::kBroken;
    }
  }
}

bool AnswerReader::ParseHead(const std::string& block, std::string_view method) {
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(this->head, ParseAnswerHead(block));
        BOOST_LEAF_ASSIGN(this->decoder, AnswerBody(this->head, method));
        return true;
      },
      [](const Error&) { return false; });
}

AnswerReader::ReadResult AnswerReader::ReadPart(std::string& part) {
  while (true) {
    std::string_view bytes = this->stream.Buffered();
    const std::size_t before = bytes.size();
    this->decoder.Feed(bytes, part);
    this->stream.Consume(before - bytes.size());
    if (this->decoder.Malformed()) {
      return ReadResult::kBroken;
    }
    if (this->decoder.Done()) {
      return ReadResult::kWhole;
    }
    if (!part.empty()) {
      return ReadResult::kRead;
    }
    const IoEnd filled = this->Fill();
    if (filled == IoEnd::kClosed && this->EndsWithConnection()) {
      return ReadResult::kWhole;
    }
    if (filled != IoEnd::kDone) {
      return filled == IoEnd::kTimeout ? ReadResult::kTimeout : ReadResult::kBroken;
    }
  }
}

}  // namespace masticrill::net
