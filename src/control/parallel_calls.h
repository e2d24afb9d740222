#ifndef MASTICRILL_CONTROL_PARALLEL_CALLS_H_
#define MASTICRILL_CONTROL_PARALLEL_CALLS_H_

#include <cstddef>
#include <thread>
#include <vector>

namespace masticrill::control {

/// Calls the function with each index below the count, on a thread for each, and waits until all
/// have returned. For calls that wait for other hosts and have a deadline in common.
template <typename Function>
void CallInParallel(std::size_t count, const Function& call) {
  std::vector<std::jthread> threads;
  threads.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    threads.emplace_back([&call, index] { call(index); });
  }
}

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_PARALLEL_CALLS_H_
