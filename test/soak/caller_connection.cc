#include <charconv>

#include "soak/caller.h"
#include "soak/upstreams.h"

namespace masticrill::soak {
namespace {

/// How long a caller waits beyond its deadline.
constexpr milliseconds kCallerPatience{1500};
constexpr milliseconds kConnectTimeout{1000};

std::string FieldOf(const std::string& head, const std::string& name) {
  const std::size_t place = head.find("\r\n" + name + ": ");
  if (place == std::string::npos) {
    return "";
  }
  const std::size_t begin = place + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

Reply CallerConnection::Ask(const Attempt& attempt, const std::string& key) {
  const SystemClock clock;
  if (this->socket != nullptr && this->socket->PeerLeft()) {
    this->socket.reset();
  }
  if (this->socket == nullptr) {
    net::IoEnd end = net::IoEnd::kDone;
    this->socket =
        net::SocketStream::Connect(this->address, clock.Now() + kConnectTimeout, nullptr, end);
  }
  if (this->socket == nullptr) {
    return {};
  }
  const TimePoint deadline = clock.Now() + attempt.timeout + kCallerPatience;
  Reply reply;
  if (this->Send(attempt, key, deadline)) {
    const TimePoint sent_whole_at = clock.Now();
    reply = this->Read(deadline);
    reply.sent_whole_at = sent_whole_at;
  }
  reply.ended_at = clock.Now();
  if (!reply.complete) {
    this->socket->Close();
    this->socket.reset();
  }
  return reply;
}

bool CallerConnection::Send(const Attempt& attempt, const std::string& key, TimePoint deadline) {
  const std::string body = "body of " + attempt.id;
  const std::string head = "POST " + attempt.path +
                           " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + attempt.id +
                           "\r\nX-Deadline-Ms: " + std::to_string(attempt.timeout.count()) +
                           "\r\nAuthorization: Bearer " + key +
                           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (attempt.body_time == Duration(0)) {
    return this->socket->Write(head + body, deadline) == net::IoEnd::kDone;
  }
  constexpr std::size_t kPieces = 4;
  bool written = this->socket->Write(head, deadline) == net::IoEnd::kDone;
  for (std::size_t piece = 0; written && piece < kPieces; ++piece) {
    std::this_thread::sleep_for(attempt.body_time / kPieces);
    const std::size_t begin = body.size() * piece / kPieces;
    const std::size_t end = body.size() * (piece + 1) / kPieces;
    written = this->socket->Write(body.substr(begin, end - begin), deadline) == net::IoEnd::kDone;
  }
  return written;
}

Reply CallerConnection::Read(TimePoint deadline) {
  Reply reply;
  std::string head;
  if (!this->Take(deadline, "\r\n\r\n", head)) {
    return reply;
  }
  constexpr std::size_t kStatusPlace = 9;
  std::from_chars(head.data() + kStatusPlace, head.data() + kStatusPlace + 3, reply.status);
  reply.signature = FieldOf(head, kSignature);
  reply.is_stream = FieldOf(head, "Content-Type") == "text/event-stream";
  if (FieldOf(head, "Transfer-Encoding") == "chunked") {
    reply.complete = this->ReadChunks(deadline, reply.body);
  } else if (const std::string length = FieldOf(head, "Content-Length"); !length.empty()) {
    reply.complete = this->Take(deadline, std::stoul(length), reply.body);
  } else {
    net::IoEnd end = net::IoEnd::kDone;
    while (end == net::IoEnd::kDone) {
      end = this->socket->Fill(deadline);
    }
    reply.body = this->socket->Buffered();
    reply.complete = end == net::IoEnd::kClosed;
  }
  return reply;
}

bool CallerConnection::ReadChunks(TimePoint deadline, std::string& body) {
  while (true) {
    std::string line;
    if (!this->Take(deadline, "\r\n", line)) {
      return false;
    }
    std::size_t size = 0;
    constexpr int kHexadecimal = 16;
    std::from_chars(line.data(), line.data() + line.size(), size, kHexadecimal);
    std::string chunk;
    const bool whole = this->Take(deadline, size, chunk);
    body += chunk;
    if (!whole || !this->Take(deadline, "\r\n", line)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

bool CallerConnection::Take(TimePoint deadline, const std::string& mark, std::string& taken) {
  std::size_t place = 0;
  while ((place = this->socket->Buffered().find(mark)) == std::string::npos) {
    if (this->socket->Fill(deadline) != net::IoEnd::kDone) {
      return false;
    }
  }
  taken = this->socket->Buffered().substr(0, place + mark.size());
  this->socket->Consume(taken.size());
  return true;
}

bool CallerConnection::Take(TimePoint deadline, std::size_t count, std::string& taken) {
  bool open = true;
  while (open && this->socket->Buffered().size() < count) {
    open = this->socket->Fill(deadline) == net::IoEnd::kDone;
  }
  taken = this->socket->Buffered().substr(0, count);
  this->socket->Consume(taken.size());
  return taken.size() == count;
}

}  // namespace masticrill::soak
