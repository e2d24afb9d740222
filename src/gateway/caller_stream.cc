#include "gateway/caller_stream.h"

#include <array>
#include <charconv>
#include <utility>

namespace masticrill::gateway {

CallerStream::CallerStream(net::SocketStream& socket, const net::RequestHead& request,
                           bool keep_open)
    : socket(socket),
      keep_open(keep_open),
      is_chunked(request.http_1_1),
      is_head(request.method == "HEAD") {}

bool CallerStream::SendWhole(int status, std::vector<net::HeaderField> headers,
                             std::string_view body, TimePoint deadline) {
  headers.push_back({"Content-Length", std::to_string(body.size())});
  if (!this->keep_open) {
    headers.push_back({"Connection", "close"});
  }
  this->begun = true;
  std::string text = net::WriteAnswerHead({status, true, std::move(headers)});
  if (!this->is_head) {
    text.append(body);
  }
  this->whole = this->Write(text, deadline);
  return this->whole;
}

bool CallerStream::Begin(int status, std::vector<net::HeaderField> headers, TimePoint deadline) {
  if (this->is_chunked) {
    headers.push_back({"Transfer-Encoding", "chunked"});
  }
  this->keep_open = this->keep_open && this->is_chunked;
  if (!this->keep_open) {
    headers.push_back({"Connection", "close"});
  }
  this->begun = true;
  return this->Write(net::WriteAnswerHead({status, true, std::move(headers)}), deadline);
}

bool CallerStream::WritePart(std::string_view data, TimePoint deadline) {
  if (data.empty()) {
    return true;
  }
  if (!this->is_chunked) {
    return this->Write(data, deadline);
  }
  constexpr int kHexadecimal = 16;
  std::array<char, 2 * sizeof(std::size_t)> digits{};
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), kHexadecimal);
  std::string chunk(digits.data(), end);
  chunk += "\r\n";
  chunk += data;
  chunk += "\r\n";
  return this->Write(chunk, deadline);
}

bool CallerStream::End(TimePoint deadline) {
  this->whole = !this->is_chunked || this->Write("0\r\n\r\n", deadline);
  return this->whole;
}

void CallerStream::Abort() {
  this->keep_open = false;
  this->socket.Close(true);
}

bool CallerStream::Write(std::string_view data, TimePoint deadline) {
  return this->socket.Write(data, deadline) == net::IoEnd::kDone;
}

}  // namespace masticrill::gateway
