#include "masticrill/kernel/upstream_plugin.h"

#include <utility>

namespace masticrill::kernel {

void Cancellation::Cancel() {
  const std::lock_guard lock(this->mutex);
  this->cancelled = true;
  if (this->callback) {
    this->callback();
  }
}

bool Cancellation::Cancelled() const {
  const std::lock_guard lock(this->mutex);
  return this->cancelled;
}

void Cancellation::SetCallback(std::function<void()> new_callback) {
  const std::lock_guard lock(this->mutex);
  this->callback = std::move(new_callback);
  if (this->cancelled && this->callback) {
    this->callback();
  }
}

UpstreamPlugins& UpstreamPlugins::Instance() {
  static UpstreamPlugins plugins;
  return plugins;
}

void UpstreamPlugins::Add(std::string name, UpstreamFactory factory) {
  this->entries.push_back({std::move(name), std::move(factory)});
}

Result<UpstreamCaller> UpstreamPlugins::Make(std::string_view name,
                                             const UpstreamOptions& options) const {
  std::string known;
  for (const Entry& entry : this->entries) {
    if (entry.name == name) {
      return entry.factory(options);
    }
    known += (known.empty() ? "" : ", ") + entry.name;
  }
  return Fail(ErrorKind::kInvalidSettings,
              "There is no upstream kind '" + std::string(name) + "'. Use one of: " + known + ".");
}

UpstreamRegistration::UpstreamRegistration(std::string name, UpstreamFactory factory) {
  UpstreamPlugins::Instance().Add(std::move(name), std::move(factory));
}

}  // namespace masticrill::kernel
