#ifndef MASTICRILL_KERNEL_UPSTREAM_PLUGIN_H_
#define MASTICRILL_KERNEL_UPSTREAM_PLUGIN_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/result.h"

namespace masticrill::kernel {

/// An HTTP header field.
struct Field {
  std::string name;
  std::string value;

  friend bool operator==(const Field&, const Field&) = default;
};

/// One call of an upstream.
struct UpstreamCall {
  std::string method;
  std::string path;
  std::vector<Field> headers;
  std::string body;
  /// The call must not be sent twice, not even by the transport.
  bool at_most_once = false;
  /// The longest silence of the upstream.
  milliseconds read_timeout{10000};
};

/// How a call ended. Only after kConnectFailed is it sure that the upstream never saw it.
enum class UpstreamEnd { kComplete, kConnectFailed, kTimeout, kReset, kCancelled };

/// Takes the answer of a call in parts, as they come.
struct UpstreamSink {
  std::function<void(int status, const std::vector<Field>& headers)> on_head;
  /// Returns false to end the call.
  std::function<bool(std::string_view data)> on_data;
};

/// Lets one thread cancel a call that another thread makes.
class Cancellation {
 public:
  /// Marks the call as cancelled and runs the callback, if there is one.
  void Cancel();
  bool Cancelled() const;
  /// What breaks the call; runs at once when it was cancelled before. Empty while none is under
  /// way.
  void SetCallback(std::function<void()> new_callback);

 private:
  mutable std::mutex mutex;
  bool cancelled = false;
  std::function<void()> callback;
};

/// Calls one upstream. Safe for several threads.
using UpstreamCaller =
    std::function<UpstreamEnd(const UpstreamCall&, Cancellation&, const UpstreamSink&)>;

/// What a plug-in is made from.
struct UpstreamOptions {
  /// IP:PORT of the upstream; empty for a built-in one.
  std::string address;
  milliseconds connect_timeout{500};
};

/// Makes the caller of one upstream. Fails with kInvalidSettings.
using UpstreamFactory = std::function<Result<UpstreamCaller>(const UpstreamOptions&)>;

/// The plug-ins for kinds of upstreams, by the name that settings use.
class UpstreamPlugins {
 public:
  static UpstreamPlugins& Instance();

  void Add(std::string name, UpstreamFactory factory);
  /// Fails with kInvalidSettings, naming the known kinds, when there is no such kind.
  Result<UpstreamCaller> Make(std::string_view name, const UpstreamOptions& options) const;

 private:
  struct Entry {
    std::string name;
    UpstreamFactory factory;
  };
  std::vector<Entry> entries;
};

/// A variable of this type in a plug-in's source registers it before main runs.
class UpstreamRegistration {
 public:
  UpstreamRegistration(std::string name, UpstreamFactory factory);
};

}  // namespace masticrill::kernel

#endif  // MASTICRILL_KERNEL_UPSTREAM_PLUGIN_H_
