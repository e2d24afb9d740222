#include "soak/fault_proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <iterator>

namespace masticrill::soak {
namespace {

constexpr int kPollMs = 10;
constexpr std::size_t kMaxHeldParts = 64;

sockaddr_in ToSocketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

}  // namespace

std::string ToString(LinkFault fault) {
  switch (fault) {
    case LinkFault::kNone:
      return "none";
    case LinkFault::kDelay:
      return "delay";
    case LinkFault::kReset:
      return "reset";
    case LinkFault::kCutForward:
      return "cut forward";
    case LinkFault::kCutBack:
      return "cut back";
    case LinkFault::kSilence:
      return "silence";
    case LinkFault::kCutAnswers:
      return "cut answers";
    case LinkFault::kSilenceOld:
      return "silence of old connections";
  }
  return "";
}

FaultProxy::FaultProxy(std::string target) : target(std::move(target)) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in own = ToSocketAddress("127.0.0.1:0");
  socklen_t size = sizeof(own);
  (void)bind(this->listener, reinterpret_cast<sockaddr*>(&own), size);
  listen(this->listener, SOMAXCONN);
  getsockname(this->listener, reinterpret_cast<sockaddr*>(&own), &size);
  this->address = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
  this->thread = std::thread([this] { this->Run(); });
}

FaultProxy::~FaultProxy() {
  this->stopping = true;
  this->thread.join();
  for (const Connection& connection : this->connections) {
    Close(connection, false);
  }
  close(this->listener);
}

void FaultProxy::Run() {
  while (!this->stopping) {
    std::vector<pollfd> polled = {{this->listener, POLLIN, 0}};
    for (const Connection& connection : this->connections) {
      for (const Flow* flow : {&connection.forward, &connection.back}) {
        const bool blocked = this->IsBlocked(connection, *flow);
        const bool reads = !blocked && !flow->source_ended && flow->held.size() < kMaxHeldParts;
        const bool writes =
            !blocked && !flow->held.empty() && flow->held.front().first <= this->clock.Now();
        polled.push_back({reads ? flow->from : -1, POLLIN, 0});
        polled.push_back({writes ? flow->to : -1, POLLOUT, 0});
      }
    }
    poll(polled.data(), polled.size(), kPollMs);
    std::size_t next = 1;
    for (auto place = this->connections.begin(); place != this->connections.end();) {
      bool open = this->fault != LinkFault::kReset;
      for (Flow* flow : {&place->forward, &place->back}) {
        open = open && this->Pass(*place, *flow, polled[next].revents, polled[next + 1].revents);
        next += 2;
      }
      if (open && place->forward.end_passed && place->back.end_passed) {
        Close(*place, false);
        place = this->connections.erase(place);
      } else if (!open) {
        Close(*place, true);
        place = this->connections.erase(place);
      } else {
        ++place;
      }
    }
    if ((polled.front().revents & POLLIN) != 0) {
      this->Accept();
    }
  }
}

void FaultProxy::Accept() {
  const int caller = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (caller < 0) {
    return;
  }
  const int callee = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in to = ToSocketAddress(this->target);
  (void)connect(callee, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  this->connections.push_back({{caller, callee, true}, {callee, caller, false}, this->clock.Now()});
}

bool FaultProxy::IsBlocked(const Connection& connection, const Flow& flow) const {
  const LinkFault now = this->fault;
  return connection.born < this->silent_before.load() || now == LinkFault::kSilence ||
         (now == LinkFault::kCutForward && flow.is_forward) ||
         (now == LinkFault::kCutBack && !flow.is_forward);
}

std::size_t FaultProxy::CutPlace(std::string_view answer) const {
  constexpr std::string_view kProtocol = "HTTP/1.1";
  constexpr std::string_view kLineEnd = "\r\n";
  const std::size_t first_line = answer.find(kLineEnd);
  const std::size_t head = answer.find("\r\n\r\n");
  if (!answer.starts_with(kProtocol) || head == std::string_view::npos) {
    return answer.size() / 2;
  }
  const std::size_t second_line = answer.find(kLineEnd, first_line + kLineEnd.size());
  const std::size_t body = head + 2 * kLineEnd.size();
  const std::array places = {kProtocol.size(),
                             first_line,
                             first_line + kLineEnd.size(),
                             (first_line + second_line) / 2,
                             second_line + kLineEnd.size(),
                             head + kLineEnd.size(),
                             body - 1,
                             body,
                             (body + answer.size()) / 2};
  return places.at(this->cuts++ % places.size());
}

bool FaultProxy::Read(Flow& flow) const {
  std::array<char, 16384> buffer{};
  ssize_t count = recv(flow.from, buffer.data(), buffer.size(), 0);
  const bool cut = count > 0 && !flow.is_forward && this->fault == LinkFault::kCutAnswers;
  if (cut) {
    const std::string_view answer(buffer.data(), static_cast<std::size_t>(count));
    count = static_cast<ssize_t>(this->CutPlace(answer));
  }
  if (count > 0) {
    const bool delayed = this->fault == LinkFault::kDelay;
    flow.held.emplace_back(this->clock.Now() + (delayed ? Duration(kLinkDelay) : Duration(0)),
                           std::string(buffer.data(), static_cast<std::size_t>(count)));
  }
  flow.source_ended = cut || count == 0;
  return count >= 0 || errno == EAGAIN || errno == EINTR;
}

bool FaultProxy::Write(Flow& flow) const {
  std::string& bytes = flow.held.front().second;
  const ssize_t count = send(flow.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (count < 0) {
    return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
  }
  bytes.erase(0, static_cast<std::size_t>(count));
  if (bytes.empty()) {
    flow.held.pop_front();
  }
  return true;
}

bool FaultProxy::Pass(Connection& connection, Flow& flow, short ready, short writable) const {
  if ((ready & (POLLIN | POLLHUP | POLLERR)) != 0 && !this->Read(flow)) {
    return false;
  }
  if (!flow.held.empty() && (writable != 0 || ready != 0) &&
      flow.held.front().first <= this->clock.Now() && !this->IsBlocked(connection, flow) &&
      !this->Write(flow)) {
    return false;
  }
  if (flow.source_ended && flow.held.empty() && !flow.end_passed) {
    shutdown(flow.to, SHUT_WR);
    flow.end_passed = true;
  }
  return true;
}

void FaultProxy::Close(const Connection& connection, bool reset) {
  if (reset) {
    const linger at_once{1, 0};
    setsockopt(connection.forward.from, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    setsockopt(connection.forward.to, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
  close(connection.forward.from);
  close(connection.forward.to);
}

}  // namespace masticrill::soak
