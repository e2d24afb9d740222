#include "masticrill/net/http_message.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace masticrill::net {
namespace {

constexpr std::array<std::string_view, 9> kConnectionFields = {
    "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authorization", "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length"};

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/// Calls the visitor with each element of a comma-separated field of that name.
template <typename Visitor>
void ForEachElement(const std::vector<HeaderField>& headers, std::string_view name,
                    const Visitor& visit) {
  for (const HeaderField& field : headers) {
    if (!EqualIgnoringCase(field.name, name)) {
      continue;
    }
    std::string_view rest = field.value;
    while (true) {
      const std::size_t comma = rest.find(',');
      visit(Trim(rest.substr(0, comma)));
      if (comma == std::string_view::npos) {
        break;
      }
      rest.remove_prefix(comma + 1);
    }
  }
}

/// The length of a body as the header fields give it.
struct Lengths {
  bool chunked = false;
  bool unknown_coding = false;
  bool bad_length = false;
  std::optional<std::uint64_t> length;
};

Lengths ReadLengths(const std::vector<HeaderField>& headers) {
  Lengths lengths;
  ForEachElement(headers, "Transfer-Encoding", [&](std::string_view coding) {
    if (EqualIgnoringCase(coding, "chunked") && !lengths.chunked) {
      lengths.chunked = true;
    } else {
      lengths.unknown_coding = true;
    }
  });
  ForEachElement(headers, "Content-Length", [&](std::string_view text) {
    std::uint64_t value = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number =
        !text.empty() && error == std::errc() && stop == text.data() + text.size();
    lengths.bad_length = lengths.bad_length || !is_number || lengths.length.has_value();
    lengths.length = value;
  });
  return lengths;
}

boost::leaf::error_id FailFraming() {
  return Fail(ErrorKind::kMalformedMessage,
              "The length of the body is given in two ways, twice or not as a number. Send either "
              "one Content-Length or Transfer-Encoding: chunked.");
}

void AppendFields(std::string& text, const std::vector<HeaderField>& headers) {
  for (const HeaderField& field : headers) {
    text += field.name + ": " + field.value + "\r\n";
  }
  text += "\r\n";
}

bool IsTokenByte(char byte) {
  return std::isalnum(static_cast<unsigned char>(byte)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenByte);
}

bool HasControlByte(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char byte) {
    return static_cast<unsigned char>(byte) < ' ' && byte != '\t';
  });
}

/// Takes the next line, without its end, off the front of a block. Absent where no line ends with a
/// carriage return and a line feed: other ends are read in different ways by different readers.
std::optional<std::string_view> TakeLine(std::string_view& block) {
  const std::size_t end = block.find('\n');
  if (end == std::string_view::npos || end == 0 || block[end - 1] != '\r') {
    return std::nullopt;
  }
  const std::string_view line = block.substr(0, end - 1);
  block.remove_prefix(end + 1);
  return line;
}

std::size_t LineCount(std::string_view block) {
  return static_cast<std::size_t>(std::count(block.begin(), block.end(), '\n'));
}

/// Reads the fields as they stand. POCO's own reader decodes encoded words in values and refuses
/// values over 8 KiB, so what is passed on would differ from what came.
Result<std::vector<HeaderField>> ReadFields(std::string_view block) {
  std::vector<HeaderField> fields;
  fields.reserve(LineCount(block));
  while (const std::optional<std::string_view> line = TakeLine(block)) {
    if (line->empty() && block.empty()) {
      return fields;
    }
    const std::size_t colon = line->find(':');
    const std::string_view name = line->substr(0, colon);
    if (colon == std::string_view::npos || !IsToken(name) || HasControlByte(*line)) {
      break;
    }
    fields.push_back({std::string(name), std::string(Trim(line->substr(colon + 1)))});
  }
  return Fail(ErrorKind::kMalformedMessage,
              "A header field is malformed. Write each as Name: value on one line, and end each "
              "line with CR LF.");
}

bool IsVersion(std::string_view text) { return text == "HTTP/1.1" || text == "HTTP/1.0"; }

}  // namespace

std::optional<std::string_view> RequestHead::Header(std::string_view name) const {
  return FindHeader(this->headers, name);
}

std::string_view RequestHead::Path() const {
  return std::string_view(this->target).substr(0, this->target.find('?'));
}

std::optional<std::string_view> AnswerHead::Header(std::string_view name) const {
  return FindHeader(this->headers, name);
}

std::size_t FindHeadEnd(std::string_view bytes) {
  constexpr std::string_view kEmptyLine = "\r\n\r\n";
  const std::size_t end = bytes.find(kEmptyLine);
  return end == std::string_view::npos ? end : end + kEmptyLine.size();
}

std::size_t ParsedHeadBytes(std::string_view block) {
  return 2 * block.size() + LineCount(block) * sizeof(HeaderField);
}

Result<RequestHead> ParseRequestHead(std::string_view block) {
  const std::string_view line = TakeLine(block).value_or("");
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || last == first) {
    return Fail(ErrorKind::kMalformedMessage,
                "The request line is malformed. Send METHOD /path HTTP/1.1.");
  }
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  if (!IsToken(method) || !target.starts_with('/') || HasControlByte(target) ||
      target.find(' ') != std::string_view::npos || !IsVersion(version)) {
    return Fail(ErrorKind::kMalformedMessage,
                "The request line is malformed. Send METHOD /path HTTP/1.1.");
  }
  BOOST_LEAF_AUTO(fields, ReadFields(block));
  return RequestHead{std::string(method), std::string(target), version == "HTTP/1.1",
                     std::move(fields)};
}

Result<AnswerHead> ParseAnswerHead(std::string_view block) {
  constexpr std::size_t kVersionBytes = 8;
  constexpr std::size_t kStatusBytes = 3;
  constexpr int kLowestStatus = 100;
  constexpr int kHighestStatus = 599;
  const std::string_view line = TakeLine(block).value_or("");
  const std::string_view version = line.substr(0, kVersionBytes);
  const std::string_view rest = line.substr(version.size());
  const std::string_view after_space = rest.starts_with(' ') ? rest.substr(1) : "";
  const std::string_view digits = after_space.substr(0, after_space.find(' '));
  int status = 0;
  const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), status);
  if (!IsVersion(version) || digits.size() != kStatusBytes || error != std::errc() ||
      stop != digits.data() + digits.size() || status < kLowestStatus || status > kHighestStatus) {
    return Fail(ErrorKind::kMalformedMessage, "The answer's status line is malformed.");
  }
  BOOST_LEAF_AUTO(fields, ReadFields(block));
  return AnswerHead{status, version == "HTTP/1.1", std::move(fields)};
}

Result<BodyDecoder> RequestBody(const RequestHead& head) {
  const Lengths lengths = ReadLengths(head.headers);
  if (lengths.bad_length || lengths.unknown_coding || (lengths.chunked && lengths.length)) {
    return FailFraming();
  }
  if (lengths.chunked) {
    return BodyDecoder(BodyFraming::kChunked);
  }
  return lengths.length ? BodyDecoder(BodyFraming::kLength, *lengths.length) : BodyDecoder();
}

Result<BodyDecoder> AnswerBody(const AnswerHead& head, std::string_view request_method) {
  const Lengths lengths = ReadLengths(head.headers);
  if (lengths.bad_length || lengths.unknown_coding || (lengths.chunked && lengths.length)) {
    return FailFraming();
  }
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (request_method == "HEAD" || head.status == kNoContent || head.status == kNotModified) {
    return BodyDecoder();
  }
  if (lengths.chunked) {
    return BodyDecoder(BodyFraming::kChunked);
  }
  return lengths.length ? BodyDecoder(BodyFraming::kLength, *lengths.length)
                        : BodyDecoder(BodyFraming::kUntilClose);
}

bool WantsClose(const std::vector<HeaderField>& headers, bool http_1_1) {
  bool close = !http_1_1;
  ForEachElement(headers, "Connection", [&](std::string_view option) {
    if (EqualIgnoringCase(option, "close")) {
      close = true;
    }
  });
  return close;
}

std::vector<HeaderField> WithoutConnectionFields(const std::vector<HeaderField>& headers) {
  std::vector<std::string_view> dropped(kConnectionFields.begin(), kConnectionFields.end());
  ForEachElement(headers, "Connection",
                 [&](std::string_view option) { dropped.push_back(option); });
  std::vector<HeaderField> kept;
  for (const HeaderField& field : headers) {
    const bool drop = std::any_of(dropped.begin(), dropped.end(), [&](std::string_view name) {
      return EqualIgnoringCase(name, field.name);
    });
    if (!drop) {
      kept.push_back(field);
    }
  }
  return kept;
}

std::string WriteRequestHead(const RequestHead& head) {
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  AppendFields(text, head.headers);
  return text;
}

std::string WriteAnswerHead(const AnswerHead& head) {
  const std::string reason = Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(head.status));
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + reason + "\r\n";
  AppendFields(text, head.headers);
  return text;
}

}  // namespace masticrill::net
