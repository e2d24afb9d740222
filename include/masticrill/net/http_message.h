#ifndef MASTICRILL_NET_HTTP_MESSAGE_H_
#define MASTICRILL_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/net/body_decoder.h"
#include "masticrill/net/header_field.h"

namespace masticrill::net {

/// The start line and header fields of a request, as they came.
struct RequestHead {
  std::string method;
  /// Path and query.
  std::string target;
  bool http_1_1 = true;
  std::vector<HeaderField> headers;

  std::optional<std::string_view> Header(std::string_view name) const;
  /// The target without its query.
  std::string_view Path() const;

  friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

/// The start line and header fields of an answer.
struct AnswerHead {
  int status = 0;
  bool http_1_1 = true;
  std::vector<HeaderField> headers;

  std::optional<std::string_view> Header(std::string_view name) const;

  friend bool operator==(const AnswerHead&, const AnswerHead&) = default;
};

/// The position after the empty line that ends a head; npos while the head is incomplete.
std::size_t FindHeadEnd(std::string_view bytes);

/// The memory that a head of these bytes takes while it is parsed, the bytes themselves included:
/// at most some hundred bytes for each field, however short.
std::size_t ParsedHeadBytes(std::string_view block);

/// Reads the block of start line and header fields, with the empty line at its end. Fails with
/// kMalformedMessage.
Result<RequestHead> ParseRequestHead(std::string_view block);
Result<AnswerHead> ParseAnswerHead(std::string_view block);

/// How the body of a request ends. Fails with kMalformedMessage where two readers could disagree:
/// several or bad lengths, a length beside a transfer coding, or an unknown coding. The connection
/// must then be closed after the answer.
Result<BodyDecoder> RequestBody(const RequestHead& head);
/// How the body of an answer to a request of that method ends.
Result<BodyDecoder> AnswerBody(const AnswerHead& head, std::string_view request_method);

/// Whether the sender ends the connection after this message.
bool WantsClose(const std::vector<HeaderField>& headers, bool http_1_1);

/// Without the fields that concern one connection only, those that "Connection" names among them,
/// and without Content-Length.
std::vector<HeaderField> WithoutConnectionFields(const std::vector<HeaderField>& headers);

std::string WriteRequestHead(const RequestHead& head);
std::string WriteAnswerHead(const AnswerHead& head);

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_HTTP_MESSAGE_H_
