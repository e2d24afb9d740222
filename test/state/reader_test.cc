#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "fakes/state_client.h"

namespace masticrill::state {
namespace {

using fakes::StateClient;

constexpr WallTimeMs kStart = 10'000'000;
constexpr int kRounds = 300;
constexpr int kReaders = 3;

/// The number of reads, and of the inconsistencies that readers saw.
struct ReaderCounts {
  std::atomic<int> number_decreased{0};
  std::atomic<int> unbalanced{0};
  std::atomic<int> head_decreased{0};
  std::atomic<int> claim_lost{0};
  std::atomic<int> reads{0};
};

void ReadOnce(const ReplicatedState& state, config::Number& number, std::uint64_t& head,
              ReaderCounts& counts) {
  const config::Number seen = state.Configuration()->number;
  counts.number_decreased += seen < number ? 1 : 0;
  number = seen;
  const std::uint64_t sequence = state.ChainHead().sequence;
  counts.head_decreased += sequence < head ? 1 : 0;
  head = sequence;
  for (const auto& [team_class, balance] : state.Totals().requests) {
    counts.unbalanced += balance.received == balance.ended.TotalEnded() + balance.open ? 0 : 1;
  }
  counts.claim_lost += state.FindClaim({TeamId("guild"), IdempotencyKey("first")}) ? 0 : 1;
  state.Explain(RequestId("e-i-1"));
  state.DeltaFrom(0);
  ++counts.reads;
}

TEST_CASE("readers on other threads see consistent states while commands are applied") {
  StateClient client;
  const ReplicatedState& state = client.Replica();
  client.Apply(OpenClaim{{TeamId("guild"), IdempotencyKey("first")}, "h", {}, kStart});
  ReaderCounts counts;
  std::atomic<bool> stop{false};
  std::vector<std::thread> readers;
  for (int i = 0; i < kReaders; ++i) {
    readers.emplace_back([&] {
      config::Number number = 0;
      std::uint64_t head = 0;
      do {
        ReadOnce(state, number, head, counts);
      } while (!stop);
    });
  }
  for (int i = 1; i <= kRounds; ++i) {
    const std::string text = std::to_string(i);
    const auto number = static_cast<std::uint64_t>(i);
    client.Patch("p" + text, number - 1,
                 R"({"failure_domains":{"d":{"region":"r)" + text + R"("}}})", kStart);
    client.Apply(OpenClaim{{TeamId("guild"), IdempotencyKey(text)}, "h", {}, kStart});
    Outcome outcome;
    outcome.request = RequestId("e-i-" + text);
    outcome.team = TeamId("guild");
    client.Apply(RecordOutcomes{NodeId("e"),
                                IncarnationId("i"),
                                number,
                                {{{TeamId("guild"), RequestClass::kCaption}, number + 1}},
                                {outcome},
                                kStart});
    ChargeLine line;
    line.request = outcome.request;
    client.Apply(Charge{line, kStart});
    if (i % 50 == 0) {
      client.Replica().Restore(client.Replica().Snapshot());
    }
  }
  stop = true;
  for (std::thread& reader : readers) {
    reader.join();
  }
  CHECK(counts.reads >= kReaders);
  CHECK(counts.number_decreased == 0);
  CHECK(counts.unbalanced == 0);
  CHECK(counts.head_decreased == 0);
  CHECK(counts.claim_lost == 0);
  CHECK(client.Replica().Configuration()->number == kRounds);
}

}  // namespace
}  // namespace masticrill::state
