#include "platform/bounded_call.h"

#include <doctest/doctest.h>

#include <future>
#include <memory>

namespace masticrill::platform {
namespace {

TEST_CASE("a call that returns in time is waited for") {
  bool has_run = false;
  CHECK(CallWithin(seconds(60), [&] { has_run = true; }));
  CHECK(has_run);
}

TEST_CASE("a call that does not return in time is left behind") {
  std::promise<void> release;
  std::promise<void> returned;
  CHECK_FALSE(CallWithin(milliseconds(1), [&] {
    release.get_future().wait();
    returned.set_value_at_thread_exit();
  }));
  release.set_value();
  returned.get_future().wait();
}

}  // namespace
}  // namespace masticrill::platform
