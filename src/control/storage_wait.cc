#include "masticrill/control/storage_wait.h"

#include <utility>

#include "control/durable_file.h"

namespace masticrill::control {

Result<std::unique_ptr<StorageWait>> StorageWait::Start(const ControlOptions& options) {
  std::unique_ptr<StorageWait> wait(new StorageWait(options.data_folder));
  BOOST_LEAF_AUTO(server,
                  net::HttpServer::Start(
                      {.address = options.http_address,
                       .max_connections = options.max_http_connections,
                       .max_buffered_bytes = options.max_http_bytes},
                      [](const net::HttpRequest&, net::HttpResponder& responder) {
                        responder.SendWhole(
                            {503,
                             {{"Content-Type", "text/plain; charset=utf-8"}, {"Retry-After", "1"}},
                             "The data folder of this host refuses writes. Ask "
                             "another host.\n"});
                      }));
  wait->server = std::move(server);
  return wait;
}

bool StorageWait::TakesWrites() const { return control::TakesWrites(this->folder); }

}  // namespace masticrill::control
