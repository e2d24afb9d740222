#include "masticrill/node/configuration_receiver.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "control/text_update_cache.h"
#include "fakes/config_errors.h"
#include "fakes/state_client.h"
#include "masticrill/common/random.h"

namespace masticrill::node {
namespace {

using fakes::StateClient;

/// A text that cannot be compressed well, so that it comes in pieces.
std::string LargeText(std::uint64_t seed) {
  Random random(seed);
  std::string text;
  for (int index = 0; index < 200'000; ++index) {
    text.push_back(static_cast<char>('a' + random.Below(26)));
  }
  return text;
}

/// A control host that grants every request.
class Host {
 public:
  void Declare(const std::string& text) {
    const std::string& current = this->state.Replica().Configuration()->declaration.text.Value();
    ++this->revision;
    this->state.Apply(state::ChangeDeclaration{
        state::PatchId("c" + std::to_string(this->revision)),
        this->revision,
        config::MakeTextDelta(current, text, config::DeltaEncoding::kCompressed),
        {},
        "",
        1});
  }

  net::RenewReply Answer(const net::RenewRequest& request) {
    state::ConfigurationUpdate update =
        this->state.Replica().UpdateFrom(request.lease.known_number, request.text_digest);
    net::RenewReply reply;
    reply.lease.number = update.document.to;
    if (request.lease.known_number == reply.lease.number) {
      reply.text_digest = request.text_digest;
      return reply;
    }
    reply.lease.delta = std::move(update.document);
    reply.text_digest = update.text.digest;
    if (!update.text.changes.empty() || update.text.whole) {
      reply.piece = this->updates.NextPiece(request, update.text);
    }
    return reply;
  }

 private:
  StateClient state;
  control::TextUpdateCache updates;
  std::uint64_t revision = 0;
};

/// One request and its reply. Nothing where the reply was rejected.
std::optional<ReceivedConfiguration> Ask(ConfigurationReceiver& receiver, Host& host) {
  net::RenewRequest request;
  receiver.Describe(request);
  return fakes::ValueOf([&] { return receiver.Take(host.Answer(request)); });
}

/// Asks until the configuration is complete.
std::string Receive(ConfigurationReceiver& receiver, Host& host) {
  for (int requests = 0; requests < 100; ++requests) {
    if (const auto received = Ask(receiver, host); received && received->complete) {
      return received->configuration == nullptr ? "(unchanged)"
                                                : received->configuration->declaration.text.Value();
    }
  }
  return "(never complete)";
}

// Guards against a configuration that never arrives, as one reply of its size never does in time.
TEST_CASE("a large text comes in pieces of a bounded size") {
  Host host;
  host.Declare(LargeText(1));
  ConfigurationReceiver receiver;
  int requests = 0;
  std::uint64_t before = 0;
  while (true) {
    const auto received = Ask(receiver, host);
    REQUIRE(received);
    ++requests;
    CHECK(receiver.Stats().received_bytes - before <= control::kMaxTextPieceBytes + 1024);
    before = receiver.Stats().received_bytes;
    if (received->complete) {
      const bool is_same = received->configuration->declaration.text.Value() == LargeText(1);
      CHECK(is_same);
      break;
    }
    CHECK(received->configuration == nullptr);
  }
  CHECK(requests > 1);
  CHECK(receiver.Stats().restarts == 0);
  CHECK(Receive(receiver, host) == "(unchanged)");
}

TEST_CASE("a small change of a large text comes in one reply") {
  Host host;
  host.Declare(LargeText(1));
  ConfigurationReceiver receiver;
  Receive(receiver, host);
  const std::uint64_t before = receiver.Stats().replies;
  host.Declare(LargeText(1) + "more");
  const bool is_same = Receive(receiver, host) == LargeText(1) + "more";
  CHECK(is_same);
  CHECK(receiver.Stats().replies - before == 1);
}

TEST_CASE("a text that changes while it is received is received anew, and whole") {
  Host host;
  host.Declare(LargeText(1));
  ConfigurationReceiver receiver;
  const auto first = Ask(receiver, host);
  REQUIRE(first);
  CHECK_FALSE(first->complete);
  host.Declare(LargeText(2));
  const bool is_same = Receive(receiver, host) == LargeText(2);
  CHECK(is_same);
  CHECK(receiver.Stats().restarts == 1);
}

TEST_CASE("a damaged piece costs a new start, and nothing half done is used") {
  Host host;
  host.Declare(LargeText(1));
  ConfigurationReceiver receiver;
  net::RenewRequest request;
  receiver.Describe(request);
  net::RenewReply reply = host.Answer(request);
  reply.piece.bytes.back() = static_cast<char>(reply.piece.bytes.back() + 1);
  fakes::ValueOf([&] { return receiver.Take(reply); });
  const bool is_same = Receive(receiver, host) == LargeText(1);
  CHECK(is_same);
  CHECK(receiver.Stats().restarts == 1);
}

TEST_CASE("a node goes on at another host in the middle of a transfer") {
  Host first;
  Host second;
  first.Declare(LargeText(1));
  second.Declare(LargeText(1));
  ConfigurationReceiver receiver;
  Ask(receiver, first);
  const bool is_same = Receive(receiver, second) == LargeText(1);
  CHECK(is_same);
  CHECK(receiver.Stats().restarts == 0);
}

}  // namespace
}  // namespace masticrill::node
