#include "soak/upstreams.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace masticrill::soak {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kWork{20};
constexpr milliseconds kEventInterval{25};
constexpr const char* kRequestId = "X-Request-Id";

std::unique_ptr<net::HttpServer> StartServer(net::HttpServer::Handler handler) {
  return HandleErrors(
      [&] {
        return net::HttpServer::Start({.address = "127.0.0.1:0", .max_connections = 400},
                                      std::move(handler));
      },
      [](const Error&) { return std::unique_ptr<net::HttpServer>(); });
}

}  // namespace

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
  {
    const std::scoped_lock lock(this->mutex);
    this->runs.push_back({id, request.path, std::string(request.Header("X-Tenant").value_or("")),
                          request.Header("Authorization").has_value(), request.body});
  }
  if (kind == 1) {
    responder.Abort();
    return;
  }
  if (request.path.find("/stream/") != std::string::npos) {
    this->ServeStream(id, kind == 2, request, responder);
    return;
  }
  std::this_thread::sleep_for(kWork);
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
  int event = 0;
  if (const auto last = request.Header("Last-Event-Id"); last && !last->empty()) {
    event = std::stoi(std::string(*last));
  }
  responder.BeginStream(
      200, {{kRequestId, id}, {kSignature, "s-" + id}, {"Content-Type", "text/event-stream"}});
  while (event < kEvents) {
    ++event;
    std::this_thread::sleep_for(kEventInterval);
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
                         {"Zone", "zone-" + std::to_string(instances.size() % 3)},
                         {"Version", "v1"},
                         {"Slots", 32},
                         {"State", "ready"},
                         {"ColdRemainingMs", 0}});
  }
  return {200, {}, Json{{"Instances", instances}, {"Next", nullptr}}.dump()};
}

}  // namespace masticrill::soak
