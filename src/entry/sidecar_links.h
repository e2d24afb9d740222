#ifndef MASTICRILL_ENTRY_SIDECAR_LINKS_H_
#define MASTICRILL_ENTRY_SIDECAR_LINKS_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/config/configuration.h"
#include "masticrill/net/rpc_client.h"
#include "masticrill/routing/upstream_table.h"

namespace masticrill::entry {

/// The connections of an entry to the sidecars of its upstreams. Subscribes to the load of the
/// watched ones and feeds it to the upstream table. Safe for several threads.
class SidecarLinks {
 public:
  SidecarLinks(const net::Credentials& credentials, routing::UpstreamTable& table);
  ~SidecarLinks();
  SidecarLinks(const SidecarLinks&) = delete;
  SidecarLinks& operator=(const SidecarLinks&) = delete;

  /// Takes the addresses of a configuration and watches these upstreams.
  void Configure(const config::Configuration& configuration,
                 const std::vector<UpstreamId>& watched);

  /// The connection to an upstream's sidecar; null when the configuration has no such upstream.
  std::shared_ptr<net::RpcClient> Find(const UpstreamId& upstream) const;

  /// The incarnation that claims on this upstream must name; asks its sidecar when no report has
  /// come yet. Empty when it cannot be reached.
  IncarnationId Incarnation(const UpstreamId& upstream);

  /// Takes in a load report that came with an answer.
  void OnLoad(const net::LoadReport& load);

  void Stop();

 private:
  struct Link {
    std::string address;
    std::shared_ptr<net::RpcClient> client;
    IncarnationId incarnation;
    /// The subscription to load reports; null while there is none.
    std::shared_ptr<net::Exchange> subscription;
    bool watched = false;
    TimePoint next_subscribe;
  };

  void Run();
  void Subscribe();
  void TakeReports();

  net::Credentials credentials;
  routing::UpstreamTable& table;
  SystemClock clock;
  mutable std::mutex mutex;
  std::condition_variable stopping;
  bool stopped = false;
  std::map<UpstreamId, Link> links;
  /// Reports of all subscriptions; the tag tells which subscription ended.
  std::shared_ptr<net::FrameQueue> reports;
  net::ExchangeTag last_tag = 0;
  std::map<net::ExchangeTag, UpstreamId> upstream_of_tag;
  std::thread thread;
};

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_SIDECAR_LINKS_H_
