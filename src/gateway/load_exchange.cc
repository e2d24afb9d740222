#include "gateway/load_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "masticrill/common/codec.h"
#include "masticrill/common/hash.h"
#include "masticrill/common/log.h"
#include "masticrill/net/traffic.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);
constexpr std::size_t kMaxDatagramBytes = 60'000;
/// The length of the signature in front of each notice, in hexadecimal digits.
constexpr std::size_t kSignatureBytes = 16;

/// Begins the datagrams of limits. A load notice begins with a hexadecimal digit.
constexpr std::string_view kLimitsMark = "L";

std::string SignatureOf(std::string_view payload, const std::string& shared_secret) {
  return HmacSha256Hex(shared_secret, payload).substr(0, kSignatureBytes);
}

template <typename Notice>
std::string Encode(const Notice& notice, const std::string& shared_secret) {
  const std::string payload = EncodeBytes(notice);
  return SignatureOf(payload, shared_secret) + payload;
}

template <typename Notice>
Result<Notice> Decode(const std::string& datagram, const std::string& shared_secret) {
  if (datagram.size() < kSignatureBytes) {
    return Fail(ErrorKind::kMalformedMessage,
                "The datagram is shorter than the signature of a notice.");
  }
  const std::string payload = datagram.substr(kSignatureBytes);
  if (!ConstantTimeEqual(datagram.substr(0, kSignatureBytes),
                         SignatureOf(payload, shared_secret))) {
    return Fail(ErrorKind::kUnauthenticated,
                "The signature of a notice does not match the shared secret.");
  }
  return DecodeBytes<Notice>(payload);
}

}  // namespace

std::string EncodeNotice(const LoadNotice& notice, const std::string& shared_secret) {
  return Encode(notice, shared_secret);
}

Result<LoadNotice> DecodeNotice(const std::string& datagram, const std::string& shared_secret) {
  return Decode<LoadNotice>(datagram, shared_secret);
}

std::string EncodeLimits(const LimitNotice& notice, const std::string& shared_secret) {
  return std::string(kLimitsMark) + Encode(notice, shared_secret);
}

Result<LimitNotice> DecodeLimits(const std::string& datagram, const std::string& shared_secret) {
  if (!IsLimitNotice(datagram)) {
    return Fail(ErrorKind::kMalformedMessage, "The datagram is no notice of limits.");
  }
  return Decode<LimitNotice>(datagram.substr(kLimitsMark.size()), shared_secret);
}

bool IsLimitNotice(std::string_view datagram) { return datagram.starts_with(kLimitsMark); }

std::vector<std::string> ChoosePeers(const std::string& own_address,
                                     std::vector<std::string> addresses, std::size_t count) {
  std::erase(addresses, own_address);
  std::sort(addresses.begin(), addresses.end(), [&](const auto& left, const auto& right) {
    return Hash64(own_address + "|" + left) < Hash64(own_address + "|" + right);
  });
  addresses.resize(std::min(addresses.size(), count));
  return addresses;
}

Duration NoticeInterval(const LoadExchangeOptions& options, std::size_t entries) {
  return entries > options.max_peers + 1 ? options.sample_interval : options.interval;
}

struct LoadExchange::State {
  State(LoadExchangeOptions options, UpstreamPool& pool, PeerSource peers)
      : options(std::move(options)), pool(pool), peers(std::move(peers)) {}

  void Run();
  void Receive();
  Result<bool> Apply(const std::string& datagram);
  void SendNotice();
  void SendLimits();
  void Send(net::MessageType type, const std::string& datagram);
  void UpdateReceivers();

  LoadExchangeOptions options;
  UpstreamPool& pool;
  PeerSource peers;
  SystemClock clock;
  Poco::Net::DatagramSocket socket;
  /// All entries that take notices, and those that take the ones of this entry.
  std::vector<std::string> entries;
  std::vector<Poco::Net::SocketAddress> receivers;
  std::string buffer = std::string(kMaxDatagramBytes, '\0');
  std::uint64_t sequence = 0;
  std::map<NodeId, std::uint64_t> last_sequences;
  bool had_work = false;
  bool rejection_logged = false;
  std::atomic<bool> stopped = false;
  std::thread thread;
};

/// Sends notices at their intervals, and receives notices in between.
void LoadExchange::State::Run() {
  TimePoint next = this->clock.Now();
  TimePoint next_notice = next;
  while (!this->stopped) {
    const TimePoint now = this->clock.Now();
    if (now >= next) {
      this->UpdateReceivers();
      this->SendLimits();
      if (now >= next_notice) {
        this->SendNotice();
        next_notice = now + NoticeInterval(this->options, this->entries.size());
      }
      next = now + this->options.interval;
      continue;
    }
    try {
      const auto wait = duration_cast<microseconds>(next - now).count();
      if (this->socket.poll(Poco::Timespan(wait), Poco::Net::Socket::SELECT_READ)) {
        this->Receive();
      }
    } catch (const Poco::Exception& exception) {
      // A datagram that was sent to a port without a process is reported as an error here.
      kLog.Debug("Receiving load notices failed; the next one is awaited.",
                 {{"cause", exception.displayText()}});
    }
  }
}

void LoadExchange::State::Receive() {
  Poco::Net::SocketAddress sender;
  const int size =
      this->socket.receiveFrom(this->buffer.data(), static_cast<int>(this->buffer.size()), sender);
  const std::string datagram(this->buffer, 0, static_cast<std::size_t>(std::max(size, 0)));
  HandleErrors([&] { return this->Apply(datagram); },
               [&](const Error& error) {
                 if (!std::exchange(this->rejection_logged, true)) {
                   kLog.Warning("A load notice was rejected; further ones are not logged.",
                                {{"sender", sender.toString()}, {"cause", error.message}});
                 }
                 return false;
               });
}

/// Passes the content of a datagram to the pool; false for a load notice that comes after a later
/// one.
Result<bool> LoadExchange::State::Apply(const std::string& datagram) {
  if (IsLimitNotice(datagram)) {
    BOOST_LEAF_AUTO(news, DecodeLimits(datagram, this->options.shared_secret));
    this->pool.OnPeerLimits(news.limits, this->clock.Now());
    return true;
  }
  BOOST_LEAF_AUTO(notice, DecodeNotice(datagram, this->options.shared_secret));
  std::uint64_t& last = this->last_sequences[notice.sender];
  if (notice.sequence <= last) {
    return false;
  }
  last = notice.sequence;
  this->pool.SetPeerWork(notice.sender, std::move(notice.work), this->clock.Now());
  return true;
}

/// Chooses the receivers anew when other entries take notices than before.
void LoadExchange::State::UpdateReceivers() {
  std::vector<std::string> all = this->peers();
  if (all == this->entries) {
    return;
  }
  this->entries = std::move(all);
  this->receivers.clear();
  for (const std::string& peer :
       ChoosePeers(this->options.address, this->entries, this->options.max_peers)) {
    try {
      this->receivers.emplace_back(peer);
    } catch (const Poco::Exception& exception) {
      kLog.Warning("An entry has no valid address for load notices.",
                   {{"peer", peer}, {"cause", exception.displayText()}});
    }
  }
}

/// Sends this host's work to its peers. After the last work has ended, sends one empty notice.
void LoadExchange::State::SendNotice() {
  const LoadNotice notice{this->options.node, ++this->sequence, this->pool.OwnWork()};
  if (notice.work.empty() && !std::exchange(this->had_work, false)) {
    return;
  }
  this->had_work = !notice.work.empty();
  this->Send(net::MessageType::kLoadNotice, EncodeNotice(notice, this->options.shared_secret));
}

void LoadExchange::State::SendLimits() {
  // Where not every entry hears every other one, news of limits is passed on.
  const bool forwards = this->entries.size() > this->options.max_peers + 1;
  const LimitNotice news{this->options.node, this->pool.RecentLimits(forwards, this->clock.Now())};
  if (!news.limits.empty()) {
    this->Send(net::MessageType::kLimitNotice, EncodeLimits(news, this->options.shared_secret));
  }
}

void LoadExchange::State::Send(net::MessageType type, const std::string& datagram) {
  for (const Poco::Net::SocketAddress& peer : this->receivers) {
    try {
      this->socket.sendTo(datagram.data(), static_cast<int>(datagram.size()), peer);
      net::Sent().Add(type, datagram.size());
    } catch (const Poco::Exception& exception) {
      kLog.Debug("Sending a load notice failed.",
                 {{"peer", peer.toString()}, {"cause", exception.displayText()}});
    }
  }
}

LoadExchange::LoadExchange(std::unique_ptr<State> state) : state(std::move(state)) {}

LoadExchange::~LoadExchange() { this->Stop(); }

Result<std::unique_ptr<LoadExchange>> LoadExchange::Start(const LoadExchangeOptions& options,
                                                          UpstreamPool& pool, PeerSource peers) {
  std::unique_ptr<LoadExchange> exchange(
      new LoadExchange(std::make_unique<State>(options, pool, std::move(peers))));
  State& state = *exchange->state;
  state.sequence = static_cast<std::uint64_t>(state.clock.WallNow()) << 16U;
  try {
    state.socket.bind(Poco::Net::SocketAddress(options.address), true);
  } catch (const Poco::Exception& exception) {
    return Fail(ErrorKind::kUnavailable, "Cannot bind " + options.address + " for load notices (" +
                                             exception.displayText() +
                                             "). Choose an address of this host that is free.");
  }
  state.thread = std::thread([&state] { state.Run(); });
  return exchange;
}

void LoadExchange::Stop() {
  this->state->stopped = true;
  if (this->state->thread.joinable()) {
    this->state->thread.join();
  }
}

}  // namespace masticrill::gateway
