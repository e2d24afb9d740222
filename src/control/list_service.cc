#include "control/list_service.h"

#include <algorithm>
#include <utility>

#include "masticrill/common/log.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr Duration kCallTimeout = milliseconds(500);
/// Wait between the calls of RunOnce on a host where no list is shared.
constexpr Duration kNoListInterval = std::chrono::hours(24);
/// The version of a list that a host has read for itself: below those of all leaders.
constexpr std::uint64_t kFirstVersion = 1;

}  // namespace

ListService::ListService(const ControlOptions& options, ReplicaRunner& replica,
                         AddressBook& addresses)
    : options(options),
      replica(replica),
      addresses(addresses),
      thread([this] { return this->RunOnce(); }) {}

net::SharedList ListService::Read(std::uint64_t known_version) const {
  const std::scoped_lock lock(this->mutex);
  net::SharedList copy{this->list.version, "",
                       duration_cast<milliseconds>(this->clock.Now() - this->read_at).count()};
  if (known_version != this->list.version) {
    copy.bytes = this->list.bytes;
  }
  return copy;
}

Duration ListService::RunOnce() {
  if (!this->options.read_list) {
    return kNoListInterval;
  }
  if (!std::exchange(this->has_begun, true)) {
    this->ReadSource();
  }
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  if (status.role == consensus::Role::kLeader) {
    this->ReadSource();
    return this->options.timings.list_read_interval;
  }
  if (!status.leader.Empty()) {
    this->FetchFromLeader(status.leader.node);
  }
  return this->options.timings.list_poll_interval;
}

void ListService::ReadSource() {
  const bool is_leader = this->replica.Status().replica.role == consensus::Role::kLeader;
  const bool read = HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(bytes, this->options.read_list());
        std::uint64_t version = kFirstVersion;
        if (is_leader) {
          const std::scoped_lock lock(this->mutex);
          version = this->list.version;
          if (version <= kFirstVersion || bytes != this->list.bytes) {
            // The wall-clock time keeps the versions of a new leader above those of earlier
            // leaders.
            version = std::max(version + 1, static_cast<std::uint64_t>(this->clock.WallNow()));
          }
        }
        this->Store(version, std::move(bytes), Duration::zero());
        return true;
      },
      [&](const Error& error) {
        if (!this->failing) {
          kLog.Warning("The shared list cannot be read; the last version stays in use.",
                       {{"cause", error.message}});
        }
        return false;
      });
  if (read && this->failing) {
    kLog.Info("The shared list can be read again.");
  }
  this->failing = !read;
}

void ListService::FetchFromLeader(const NodeId& leader) {
  const std::shared_ptr<net::RpcClient> client = this->addresses.Client(leader);
  if (client == nullptr) {
    return;
  }
  HandleErrors(
      [&]() -> Result<bool> {
        std::uint64_t known = 0;
        {
          const std::scoped_lock lock(this->mutex);
          known = this->list.version;
        }
        BOOST_LEAF_AUTO(
            reply, client->Call<net::SharedListReply>(net::SharedListRequest{known}, kCallTimeout));
        this->Store(reply.list.version, std::move(reply.list.bytes),
                    milliseconds(reply.list.age_ms));
        return true;
      },
      [](const Error& error) {
        // The next poll follows soon, and nodes read the source themselves when their list gets
        // old.
        kLog.Debug("Fetching the shared list from the leader failed.", {{"cause", error.message}});
        return false;
      });
}

/// Stores the list unless it is older than the stored one.
void ListService::Store(std::uint64_t version, std::string bytes, Duration age) {
  const std::scoped_lock lock(this->mutex);
  if (version < this->list.version || version == 0) {
    return;
  }
  if (version != this->list.version) {
    this->list.version = version;
    this->list.bytes = std::move(bytes);
  }
  this->read_at = this->clock.Now() - age;
}

}  // namespace masticrill::control
