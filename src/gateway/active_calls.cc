#include "gateway/active_calls.h"

#include <algorithm>
#include <utility>

namespace masticrill::gateway {

std::string_view ToString(CallStage stage) {
  switch (stage) {
    case CallStage::kNotHandedOver:
      return "not_handed_over";
    case CallStage::kHandedOver:
      return "handed_over";
    case CallStage::kAnswering:
      return "answering";
  }
  return "not_handed_over";
}

ActiveCalls::Slot::Slot(ActiveCalls& calls, ActiveCall call) : calls(calls) {
  const std::scoped_lock lock(calls.mutex);
  calls.calls.push_back(std::move(call));
  this->place = std::prev(calls.calls.end());
}

ActiveCalls::Slot::~Slot() {
  const std::scoped_lock lock(this->calls.mutex);
  this->calls.calls.erase(this->place);
}

void ActiveCalls::Slot::SetRequest(const RequestId& request) {
  const std::scoped_lock lock(this->calls.mutex);
  this->place->request = request;
}

void ActiveCalls::Slot::SetRoute(const std::string& route) {
  const std::scoped_lock lock(this->calls.mutex);
  this->place->route = route;
}

void ActiveCalls::Slot::Reach(CallStage stage) {
  const std::scoped_lock lock(this->calls.mutex);
  this->place->stage = std::max(this->place->stage, stage);
}

std::vector<ActiveCall> ActiveCalls::List() const {
  const std::scoped_lock lock(this->mutex);
  return {this->calls.begin(), this->calls.end()};
}

}  // namespace masticrill::gateway
