#include "masticrill/net/body_decoder.h"

#include <algorithm>
#include <charconv>

namespace masticrill::net {
namespace {

/// The longest chunk-size or trailer line, in bytes. Real ones have a few dozen.
constexpr std::size_t kMaxLineBytes = 1024;
/// All trailer lines of a body together.
constexpr std::size_t kMaxTrailerBytes = std::size_t{16} << 10U;
/// The largest chunk that is believed, in bytes.
constexpr std::uint64_t kMaxChunkBytes = std::uint64_t{1} << 31U;

}  // namespace

BodyDecoder::BodyDecoder(BodyFraming framing, std::uint64_t length)
    : framing(framing), left(length) {
  switch (framing) {
    case BodyFraming::kNone:
      this->state = State::kDone;
      break;
    case BodyFraming::kLength:
      this->state = length == 0 ? State::kDone : State::kData;
      break;
    case BodyFraming::kChunked:
      this->state = State::kChunkSize;
      break;
    case BodyFraming::kUntilClose:
      this->state = State::kData;
      break;
  }
}

void BodyDecoder::Feed(std::string_view& input, std::string& output) {
  while (!input.empty() && !this->Done() && !this->Malformed()) {
    if (this->state == State::kData) {
      this->TakeData(input, output);
    } else {
      this->TakeLine(input);
    }
  }
}

void BodyDecoder::TakeData(std::string_view& input, std::string& output) {
  if (this->framing == BodyFraming::kUntilClose) {
    output.append(input);
    input = {};
    return;
  }
  const std::size_t count = std::min<std::uint64_t>(input.size(), this->left);
  output.append(input.substr(0, count));
  input.remove_prefix(count);
  this->left -= count;
  if (this->left == 0) {
    this->state = this->framing == BodyFraming::kChunked ? State::kChunkEnd : State::kDone;
  }
}

void BodyDecoder::TakeLine(std::string_view& input) {
  const std::size_t end = input.find('\n');
  const std::size_t count = end == std::string_view::npos ? input.size() : end + 1;
  this->line.append(input.substr(0, count));
  input.remove_prefix(count);
  if (this->line.size() > kMaxLineBytes) {
    this->state = State::kMalformed;
    return;
  }
  if (end == std::string_view::npos) {
    return;
  }
  if (!this->line.ends_with("\r\n")) {
    this->state = State::kMalformed;
    return;
  }
  this->line.resize(this->line.size() - 2);
  this->OnLine();
  this->line.clear();
}

void BodyDecoder::OnLine() {
  if (this->state == State::kChunkEnd) {
    this->state = this->line.empty() ? State::kChunkSize : State::kMalformed;
    return;
  }
  if (this->state == State::kTrailer) {
    this->trailer_bytes += this->line.size();
    if (this->trailer_bytes > kMaxTrailerBytes) {
      this->state = State::kMalformed;
      return;
    }
    this->state = this->line.empty() ? State::kDone : State::kTrailer;
    return;
  }
  const std::string size = this->line.substr(0, this->line.find_first_of("; \t"));
  const auto [stop, error] =
      std::from_chars(size.data(), size.data() + size.size(), this->left, 16);
  if (size.empty() || error != std::errc() || stop != size.data() + size.size() ||
      this->left > kMaxChunkBytes) {
    this->state = State::kMalformed;
    return;
  }
  this->state = this->left == 0 ? State::kTrailer : State::kData;
}

}  // namespace masticrill::net
