#include "masticrill/gateway/upstream_list.h"

#include <doctest/doctest.h>

#include <string>

#include "fakes/wait_until.h"
#include "gateway/upstream_list_updater.h"

namespace masticrill::gateway {
namespace {

ListedUpstream Cold(const std::string& id) {
  ListedUpstream upstream;
  upstream.id = UpstreamId(id);
  upstream.service = ServiceId("s");
  upstream.address = "127.0.0.1:1";
  upstream.failure_domain = FailureDomainId("d");
  upstream.version = VersionId("v1");
  upstream.slots = 8;
  upstream.leaving = true;
  upstream.cold_left = milliseconds(1500);
  upstream.started_at = 123;
  return upstream;
}

UpstreamList Decode(const std::string& bytes) {
  return HandleErrors([&] { return DecodeUpstreamList(bytes); },
                      [](const Error&) { return UpstreamList(); });
}

TEST_CASE("a shared list decodes to exactly what was encoded, and a truncated one is rejected") {
  const UpstreamList list = {Cold("a"), Cold("b")};
  const std::string bytes = EncodeUpstreamList(list);
  CHECK(Decode(bytes) == list);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK(Decode(bytes.substr(0, size)).empty());
  }
}

TEST_CASE(
    "an entry reads the list itself only until a shared one arrives; a malformed one is ignored") {
  UpstreamPool pool(PoolSettings{.own_domain = FailureDomainId("d")}, Random(1));
  std::atomic<int> reads = 0;
  UpstreamListUpdater updater(
      [&]() -> Result<UpstreamList> {
        ++reads;
        return UpstreamList{Cold("own")};
      },
      pool, milliseconds(1), [] { return true; });
  CHECK(fakes::WaitUntil([&] { return reads >= 3; }));
  updater.OnSharedList(EncodeUpstreamList({Cold("a"), Cold("b")}), Duration::zero());
  CHECK(pool.UpstreamCount() == 2);
  // Bytes that cannot be decoded leave the list unchanged.
  updater.OnSharedList("nonsense", Duration::zero());
  CHECK(pool.UpstreamCount() == 2);
}

// Failure: after a loss of power, each entry of a large fleet reads all pages of the list again and
// again until a control group grants it a lease, a thousand calls to the source for nothing.
TEST_CASE("an entry without a lease does not read the list, and one that gets a lease does") {
  UpstreamPool pool(PoolSettings{.own_domain = FailureDomainId("d")}, Random(1));
  std::atomic<int> checks = 0;
  std::atomic<int> reads = 0;
  std::atomic<bool> has_lease = false;
  UpstreamListUpdater updater(
      [&]() -> Result<UpstreamList> {
        ++reads;
        return UpstreamList{Cold("own")};
      },
      pool, milliseconds(1),
      [&] {
        ++checks;
        return has_lease.load();
      });
  CHECK(fakes::WaitUntil([&] { return checks >= 5; }));
  CHECK(reads == 0);
  has_lease = true;
  CHECK(fakes::WaitUntil([&] { return reads >= 2; }));
  CHECK(pool.UpstreamCount() == 1);
}

}  // namespace
}  // namespace masticrill::gateway
