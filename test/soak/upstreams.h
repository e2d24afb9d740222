#ifndef MASTICRILL_SOAK_UPSTREAMS_H_
#define MASTICRILL_SOAK_UPSTREAMS_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "masticrill/net/http_server.h"
#include "soak/fault_proxy.h"
#include "soak/records.h"

namespace masticrill::soak {

inline constexpr const char* kTeam = "team-1";
inline constexpr const char* kSignature = "X-Response-Signature";
/// The events of each stream.
inline constexpr int kEvents = 20;

/// The part of a path that asks for so much work.
std::string WorkPart(Duration work);

/// The whole body of the answer to a request that is no stream. The end shows that it is whole.
std::string AnswerBody(const std::string& id);

/// Stand-in upstreams of one service, each behind a proxy, and the list that names them.
class Upstreams {
 public:
  explicit Upstreams(std::size_t count);
  Upstreams(const Upstreams&) = delete;
  Upstreams& operator=(const Upstreams&) = delete;

  std::string ListAddress() const { return this->list->Address(); }
  std::size_t Count() const { return this->workers.size(); }
  FaultProxy& Proxy(std::size_t worker) { return *this->workers.at(worker).proxy; }
  /// While it answers badly, an upstream refuses, fails or breaks off many requests.
  void SetBad(std::size_t worker, bool bad) { *this->workers.at(worker).bad = bad; }
  std::vector<Run> Runs() const;
  std::string Zone(std::size_t worker) const { return "zone-" + std::to_string(worker % 3); }
  std::string Name(std::size_t worker) const { return this->workers.at(worker).id; }

 private:
  struct Worker {
    std::string id;
    std::unique_ptr<std::atomic<bool>> bad;
    std::unique_ptr<net::HttpServer> server;
    std::unique_ptr<FaultProxy> proxy;
  };

  std::size_t BeginRun(const Run& run);
  void EndRun(std::size_t run, bool broke_off);
  void Serve(const std::string& worker, bool bad, const net::HttpRequest& request,
             net::HttpResponder& responder);
  void ServeStream(const std::string& id, bool breaks, const net::HttpRequest& request,
                   net::HttpResponder& responder) const;
  net::HttpAnswer List() const;

  mutable std::mutex mutex;
  std::vector<Run> runs;
  std::atomic<unsigned> turn = 0;
  std::vector<Worker> workers;
  std::unique_ptr<net::HttpServer> list;
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_UPSTREAMS_H_
