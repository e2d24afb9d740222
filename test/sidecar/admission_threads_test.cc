#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "fakes/sidecar_inputs.h"
#include "masticrill/sidecar/admission.h"

namespace masticrill::sidecar {
namespace {

using testing::AllowAll;
using testing::kSelf;
using testing::kStart;
using testing::MakeSpec;
using testing::Share;

constexpr int kThreads = 4;
constexpr int kAttempts = 2000;

TEST_CASE("attempts submitted by several threads each end once, within the concurrency limit") {
  Admission admission(IncarnationId("i"), AdmissionOptions{}, kStart);
  admission.OnConfiguration(Share(AllowAll(1, 8)), kSelf, kStart);
  admission.OnLease(kStart + std::chrono::hours(1), kStart);
  std::atomic<int> ended = 0;
  std::atomic<int> running = 0;
  std::atomic<int> most_running = 0;

  // Finishes the attempts one after the other, including those that start when another ends.
  const auto serve = [&](std::vector<AttemptId> started) {
    while (!started.empty()) {
      const AttemptId attempt = started.back();
      started.pop_back();
      const int now_running = ++running;
      int most = most_running;
      while (now_running > most && !most_running.compare_exchange_weak(most, now_running)) {
      }
      --running;
      ++ended;
      const Effects effects =
          admission.OnFinished(attempt, {EngineOutcome::kOk, 10, ""}, kStart + seconds(1));
      admission.AcknowledgeReceipt(attempt);
      ended += static_cast<int>(effects.refused.size());
      started.insert(started.end(), effects.start.begin(), effects.start.end());
    }
  };
  const auto work = [&](int thread) {
    for (int index = 0; index < kAttempts; ++index) {
      const AttemptSpec spec = MakeSpec(std::to_string(thread) + "-" + std::to_string(index),
                                        kAllRequestClasses.at(static_cast<std::size_t>(index % 3)));
      const Decision decision = admission.Submit(spec, kStart + milliseconds(index % 7));
      ended += static_cast<int>(decision.effects.refused.size());
      std::vector<AttemptId> started = decision.effects.start;
      if (decision.kind == DecisionKind::kStart) {
        started.push_back(spec.attempt);
      }
      ended += decision.kind == DecisionKind::kRefuse ? 1 : 0;
      serve(started);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back(work, thread);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(ended == kThreads * kAttempts);
  CHECK(most_running <= 8);
  CHECK(admission.Load(kStart).in_flight == 0);
}

}  // namespace
}  // namespace masticrill::sidecar
