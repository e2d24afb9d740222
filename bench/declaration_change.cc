// Measures what a change of the declaration costs each host, for growing numbers of routes: one
// route changed, and a tenth of them added. Bytes in the log, to a node, and of the whole text;
// processor time of the operator's host, of each replica and of each node.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>

#include "control/text_update_cache.h"
#include "fakes/platform_declaration.h"
#include "masticrill/node/configuration_receiver.h"
#include "masticrill/state/codec.h"
#include "masticrill/state/replicated_state.h"
#include "platform/declaration.h"

namespace masticrill {
namespace {

using fakes::Declaration;

double Milliseconds(const std::function<void()>& work) {
  const auto begin = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin)
      .count();
}

/// A replica that grants every request, and a node that asks it.
class Pair {
 public:
  state::ChangeDeclaration Plan(std::uint64_t revision, const std::string& text) const {
    return {state::PatchId("c" + std::to_string(revision)),
            revision,
            config::MakeTextDelta(this->replica.Configuration()->declaration.text.Value(), text,
                                  config::DeltaEncoding::kCompressed),
            {},
            "",
            1};
  }

  void Apply(const std::string& command) { this->replica.Apply(++this->index, command); }

  /// Returns whether the node has all of it.
  bool Ask() {
    net::RenewRequest request;
    this->receiver.Describe(request);
    state::ConfigurationUpdate update =
        this->replica.UpdateFrom(request.lease.known_number, request.text_digest);
    net::RenewReply reply;
    reply.lease.number = update.document.to;
    reply.lease.delta = std::move(update.document);
    reply.text_digest = update.text.digest;
    if (!update.text.changes.empty() || update.text.whole) {
      reply.piece = this->updates.NextPiece(request, update.text);
    }
    return HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(received, this->receiver.Take(reply));
          return received.complete;
        },
        [](const Error&) { return true; });
  }

  std::uint64_t NodeBytes() const { return this->receiver.Stats().received_bytes; }

 private:
  state::ReplicatedState replica;
  std::uint64_t index = 0;
  control::TextUpdateCache updates;
  node::ConfigurationReceiver receiver;
};

void Measure(Pair& pair, const char* what, std::uint64_t revision, const std::string& text) {
  std::string command;
  const double read_ms = Milliseconds([&] {
    HandleErrors([&] { return platform::ReadDeclaration(text); },
                 [](const Error&) { return gateway::RouteTable(); });
  });
  const double plan_ms =
      Milliseconds([&] { command = state::EncodeCommand(pair.Plan(revision, text)); });
  const double apply_ms = Milliseconds([&] { pair.Apply(command); });
  const std::uint64_t before = pair.NodeBytes();
  const double node_ms = Milliseconds([&] {
    while (!pair.Ask()) {
    }
  });
  std::printf("%-12s %9zu %9zu %9llu %8.2f %8.2f %8.2f %8.2f\n", what, text.size(), command.size(),
              static_cast<unsigned long long>(pair.NodeBytes() - before), read_ms, plan_ms,
              apply_ms, node_ms);
}

}  // namespace
}  // namespace masticrill

int main() {
  std::printf("%-12s %9s %9s %9s %8s %8s %8s %8s\n", "change", "text B", "log B", "node B",
              "read ms", "plan ms", "apply ms", "node ms");
  for (const int routes : {40, 1400, 10'000}) {
    std::printf("%d routes\n", routes);
    masticrill::Pair pair;
    const int more = routes / 10;
    masticrill::Measure(pair, "first", 1, masticrill::Declaration(1, routes - more));
    masticrill::Measure(pair, "a tenth more", 2, masticrill::Declaration(2, routes));
    masticrill::Measure(pair, "one route", 3, masticrill::Declaration(3, routes, routes / 2));
  }
  return 0;
}
