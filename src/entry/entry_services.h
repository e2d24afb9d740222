#ifndef MASTICRILL_ENTRY_ENTRY_SERVICES_H_
#define MASTICRILL_ENTRY_ENTRY_SERVICES_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "entry/entry_metrics.h"
#include "entry/ledger_client.h"
#include "entry/sidecar_links.h"
#include "masticrill/entry/entry_server.h"
#include "masticrill/node/lease_client.h"
#include "masticrill/routing/cascade_policy.h"
#include "masticrill/routing/directory.h"
#include "masticrill/routing/evidence_table.h"
#include "masticrill/routing/retry.h"
#include "masticrill/routing/upstream_table.h"

namespace masticrill::entry {

/// What the requests of one entry share. Every member is safe for several threads.
struct EntryServices {
  EntryOptions options;
  net::Identity self;
  std::string session_key;
  SystemClock clock;
  routing::UpstreamTable table;
  routing::RetryBudget retry_budget;
  routing::CascadePolicy cascades;
  routing::EvidenceTable evidence;
  EntryMetrics metrics;
  std::shared_ptr<node::ControlLink> control;
  std::unique_ptr<SidecarLinks> links;
  std::unique_ptr<node::CommandSender> sender;
  std::unique_ptr<LedgerClient> ledger;
  std::unique_ptr<node::LeaseClient> lease;

  /// The directory of the configuration in force; null until the first lease.
  std::shared_ptr<const routing::UpstreamDirectory> Directory() const {
    const std::lock_guard lock(this->directory_mutex);
    return this->directory;
  }
  void SetDirectory(std::shared_ptr<const routing::UpstreamDirectory> next) {
    const std::lock_guard lock(this->directory_mutex);
    this->directory = std::move(next);
  }

 private:
  mutable std::mutex directory_mutex;
  std::shared_ptr<const routing::UpstreamDirectory> directory;
};

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_ENTRY_SERVICES_H_
