#include "soak/upstreams.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace masticrill::soak {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kWork{20};
constexpr milliseconds kEventInterval{25};
constexpr const char* kRequestId = "X-Request-Id";
constexpr std::string_view kWorkMark = "/work-";

std::unique_ptr<net::HttpServer> StartServer(net::HttpServer::Handler handler) {
  return HandleErrors(
      [&] {
        return net::HttpServer::Start({.address = "127.0.0.1:0", .max_connections = 400},
                                      std::move(handler));
      },
      [](const Error&) { return std::unique_ptr<net::HttpServer>(); });
}

/// The work for which a path asks, or the usual one.
Duration WorkOf(const std::string& path, Duration usual) {
  const std::size_t mark = path.find(kWorkMark);
  return mark == std::string::npos
             ? usual
             : Duration(milliseconds(std::stoi(path.substr(mark + kWorkMark.size()))));
}

}  // namespace

std::string WorkPart(Duration work) {
  return std::string(kWorkMark) +
         std::to_string(std::chrono::duration_cast<milliseconds>(work).count());
}

std::string AnswerBody(const std::string& id) {
  constexpr std::size_t kLength = 2000;
  std::string body = "answer to " + id + " ";
  while (body.size() < kLength) {
    body += id + ".";
  }
  return body + " end";
}

Upstreams::Upstreams(std::size_t count) {
  for (std::size_t number = 0; number < count; ++number) {
    Worker worker;
    worker.id = "i-" + std::to_string(number);
    worker.bad = std::make_unique<std::atomic<bool>>(false);
    worker.server =
        StartServer([this, id = worker.id, bad = worker.bad.get()](const net::HttpRequest& request,
                                                                   net::HttpResponder& responder) {
          this->Serve(id, *bad, request, responder);
        });
    worker.proxy = std::make_unique<FaultProxy>(worker.server->Address());
    this->workers.push_back(std::move(worker));
  }
  this->list = StartServer([this](const net::HttpRequest&, net::HttpResponder& responder) {
    responder.SendWhole(this->List());
  });
}

std::vector<Run> Upstreams::Runs() const {
  const std::scoped_lock lock(this->mutex);
  return this->runs;
}

std::size_t Upstreams::BeginRun(const Run& run) {
  const std::scoped_lock lock(this->mutex);
  this->runs.push_back(run);
  return this->runs.size() - 1;
}

void Upstreams::EndRun(std::size_t run, bool broke_off) {
  const std::scoped_lock lock(this->mutex);
  this->runs.at(run).ended_at = SystemClock().Now();
  this->runs.at(run).broke_off = broke_off;
}

void Upstreams::Serve(const std::string& worker, bool bad, const net::HttpRequest& request,
                      net::HttpResponder& responder) {
  const std::string id(request.Header(kRequestId).value_or(""));
  const Headers about = {{kRequestId, id}, {"X-Instance-Id", worker}};
  if (request.path == "/health") {
    responder.SendWhole({200, about, "ok"});
    return;
  }
  const auto answer = [&](int status, net::HeaderField field, const std::string& body) {
    Headers headers = about;
    headers.push_back(std::move(field));
    responder.SendWhole({status, headers, body});
  };
  if (request.Header("X-Target-Instance").value_or(worker) != worker) {
    answer(421, {"X-Not-Executed", "1"}, "");
    return;
  }
  constexpr unsigned kBadKinds = 6;
  const unsigned kind = bad ? this->turn++ % kBadKinds : kBadKinds;
  if (kind == 0) {
    answer(503, {"X-Not-Executed", "1"}, "");
    return;
  }
  const std::size_t run =
      this->BeginRun({id, request.path, std::string(request.Header("X-Tenant").value_or("")),
                      request.Header("Authorization").has_value(), request.body, worker,
                      SystemClock().Now(), TimePoint::max()});
  if (kind == 1) {
    this->EndRun(run, true);
    responder.Abort();
    return;
  }
  if (request.path.find("/stream/") != std::string::npos) {
    this->ServeStream(id, kind == 2, request, responder);
    this->EndRun(run, kind == 2);
    return;
  }
  const TimePoint begun_at = SystemClock().Now();
  const Duration work = WorkOf(request.path, kWork);
  // A caller that leaves ends the work.
  while (SystemClock().Now() < begun_at + work && !responder.CallerLeft()) {
    std::this_thread::sleep_for(std::min<Duration>(kWork, work));
  }
  this->EndRun(run, kind == 2 || kind == 3);
  if (kind == 2) {
    answer(500, {kSignature, "failed"}, "failed");
  } else if (kind == 3) {
    responder.BeginStream(200, {{kRequestId, id}, {kSignature, "s-" + id}});
    responder.Write(AnswerBody(id).substr(0, 100));
    responder.Abort();
  } else {
    answer(200, {kSignature, "s-" + id}, AnswerBody(id));
  }
}

void Upstreams::ServeStream(const std::string& id, bool breaks, const net::HttpRequest& request,
                            net::HttpResponder& responder) const {
  const Duration interval = WorkOf(request.path, kEventInterval * kEvents) / kEvents;
  int event = 0;
  if (const auto last = request.Header("Last-Event-Id"); last && !last->empty()) {
    event = std::stoi(std::string(*last));
  }
  responder.BeginStream(
      200, {{kRequestId, id}, {kSignature, "s-" + id}, {"Content-Type", "text/event-stream"}});
  while (event < kEvents) {
    ++event;
    std::this_thread::sleep_for(interval);
    const std::string text =
        "id: " + std::to_string(event) + "\ndata: " + id + "-" + std::to_string(event) + "\n\n";
    if (breaks && event > kEvents / 2) {
      responder.Write(text.substr(0, text.size() / 2));
      responder.Abort();
      return;
    }
    if (!responder.Write(text)) {
      responder.Abort();
      return;
    }
  }
}

net::HttpAnswer Upstreams::List() const {
  Json instances = Json::array();
  for (const Worker& worker : this->workers) {
    instances.push_back({{"Id", worker.id},
                         {"Service", "s"},
                         {"Address", worker.proxy->Address()},
                         {"Zone", this->Zone(instances.size())},
                         {"Version", "v1"},
                         {"Slots", 32},
                         {"State", "ready"},
                         {"ColdRemainingMs", 0}});
  }
  return {200, {}, Json{{"Instances", instances}, {"Next", nullptr}}.dump()};
}

}  // namespace masticrill::soak
