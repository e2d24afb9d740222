#ifndef MASTICRILL_NET_TRAFFIC_H_
#define MASTICRILL_NET_TRAFFIC_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "masticrill/common/metrics.h"
#include "masticrill/net/message_type.h"

namespace masticrill::net {

/// What a process has sent to other processes of the system, by the kind of message. A datagram
/// between entries counts by the message in it; headers of the transport are not counted.
/// Thread-safe.
class SentTraffic {
 public:
  void Add(MessageType type, std::size_t bytes);
  std::uint64_t Messages(MessageType type) const;
  std::uint64_t Bytes(MessageType type) const;

 private:
  struct Count {
    std::atomic<std::uint64_t> messages = 0;
    std::atomic<std::uint64_t> bytes = 0;
  };

  static constexpr std::size_t kMaxTypes = 64;
  std::array<Count, kMaxTypes> counts{};
};

/// The counters of this process.
SentTraffic& Sent();

std::string_view ToString(MessageType type);

/// Writes the kinds of which at least one message was sent.
void WriteTraffic(MetricsWriter& writer, const SentTraffic& sent);

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_TRAFFIC_H_
