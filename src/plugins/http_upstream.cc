#include "masticrill/kernel/upstream_plugin.h"
#include "masticrill/net/http_client.h"

namespace masticrill::plugins {
namespace {

using kernel::Cancellation;
using kernel::Field;
using kernel::UpstreamCall;
using kernel::UpstreamCaller;
using kernel::UpstreamEnd;
using kernel::UpstreamOptions;
using kernel::UpstreamSink;

net::HttpCall ToHttpCall(const UpstreamCall& call) {
  net::HttpCall http_call{call.method, call.path, {}, call.body};
  for (const Field& field : call.headers) {
    http_call.headers.push_back({field.name, field.value});
  }
  return http_call;
}

std::vector<Field> ToFields(const std::vector<net::HeaderField>& headers) {
  std::vector<Field> fields;
  for (const net::HeaderField& header : headers) {
    fields.push_back({header.name, header.value});
  }
  return fields;
}

UpstreamEnd ToUpstreamEnd(net::HttpCallEnd end) {
  switch (end) {
    case net::HttpCallEnd::kComplete:
      return UpstreamEnd::kComplete;
    case net::HttpCallEnd::kConnectFailed:
      return UpstreamEnd::kConnectFailed;
    case net::HttpCallEnd::kTimeout:
      return UpstreamEnd::kTimeout;
    case net::HttpCallEnd::kReset:
      return UpstreamEnd::kReset;
    case net::HttpCallEnd::kAborted:
      return UpstreamEnd::kCancelled;
  }
  return UpstreamEnd::kReset;
}

UpstreamEnd CallOverHttp(net::HttpClient& client, const UpstreamCall& call,
                         Cancellation& cancellation, const UpstreamSink& sink) {
  net::HttpClient::CallSlot slot;
  cancellation.SetCallback([&slot] { slot.Abort(); });
  const net::HttpCallEnd end = client.Stream(
      ToHttpCall(call), !call.at_most_once, &slot,
      [&](int status, const std::vector<net::HeaderField>& headers) {
        sink.on_head(status, ToFields(headers));
      },
      sink.on_data);
  cancellation.SetCallback({});
  return ToUpstreamEnd(end);
}

Result<UpstreamCaller> MakeHttpUpstream(const UpstreamOptions& options) {
  if (options.address.empty()) {
    return Fail(ErrorKind::kInvalidSettings,
                "An upstream of kind 'http' needs an address. Set upstream.address to IP:PORT.");
  }
  const auto client = std::make_shared<net::HttpClient>(
      options.address, net::HttpClientOptions{.connect_timeout = options.connect_timeout});
  return UpstreamCaller(
      [client](const UpstreamCall& call, Cancellation& cancellation, const UpstreamSink& sink) {
        return CallOverHttp(*client, call, cancellation, sink);
      });
}

const kernel::UpstreamRegistration kRegistration("http", MakeHttpUpstream);

}  // namespace
}  // namespace masticrill::plugins
