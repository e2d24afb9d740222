#include "masticrill/common/buffer_budget.h"

namespace masticrill {
namespace {

/// The part of what its owner may still hold that one buffer may take. Bodies are large where they
/// are sound, heads and events small.
constexpr std::size_t DivisorOf(BufferKind kind) {
  switch (kind) {
    case BufferKind::kRequestHead:
    case BufferKind::kRequestBody:
    case BufferKind::kAnswerBody:
      return 1;
    case BufferKind::kAnswerHead:
    case BufferKind::kEvent:
      break;
  }
  return 4;
}

/// The most that one owner may take of what the other owners leave.
std::size_t OwnerMax(std::size_t left_by_others) { return left_by_others / 4 * 3; }

std::size_t IndexOf(BufferKind kind) { return static_cast<std::size_t>(kind); }

std::size_t Difference(std::size_t from, std::size_t what) { return from > what ? from - what : 0; }

}  // namespace

std::string_view ToString(BufferKind kind) {
  switch (kind) {
    case BufferKind::kRequestHead:
      return "request_head";
    case BufferKind::kRequestBody:
      return "request_body";
    case BufferKind::kAnswerHead:
      return "answer_head";
    case BufferKind::kAnswerBody:
      return "answer_body";
    case BufferKind::kEvent:
      return "event";
  }
  return "event";
}

std::size_t BufferBudget::HeldBytes() const {
  const std::scoped_lock lock(this->mutex);
  return this->held;
}

std::size_t BufferBudget::HeldBytes(BufferKind kind) const {
  const std::scoped_lock lock(this->mutex);
  return this->kinds.at(IndexOf(kind)).held;
}

std::uint64_t BufferBudget::Refusals(BufferKind kind) const {
  const std::scoped_lock lock(this->mutex);
  return this->kinds.at(IndexOf(kind)).refusals;
}

bool BufferBudget::Resize(const std::string& owner, BufferKind kind, std::size_t former,
                          std::size_t next) {
  const std::scoped_lock lock(this->mutex);
  Kind& of_kind = this->kinds.at(IndexOf(kind));
  const auto found = this->owners.find(owner);
  const std::size_t owner_held = found == this->owners.end() ? 0 : found->second;
  if (next > former) {
    const std::size_t owner_max = OwnerMax(Difference(this->max_bytes, this->held - owner_held));
    const std::size_t left = Difference(owner_max, owner_held - former);
    if (next > left / DivisorOf(kind)) {
      ++of_kind.refusals;
      return false;
    }
  }
  this->held = this->held - former + next;
  of_kind.held = of_kind.held - former + next;
  if (const std::size_t owner_next = owner_held - former + next; owner_next > 0) {
    this->owners[owner] = owner_next;
  } else if (found != this->owners.end()) {
    this->owners.erase(found);
  }
  return true;
}

bool BufferShare::Resize(std::size_t bytes) {
  const std::size_t free_bytes = this->kind == BufferKind::kRequestHead
                                     ? BufferBudget::kFreeHeadBytes
                                     : BufferBudget::kFreeBytes;
  const std::size_t next = Difference(bytes, free_bytes);
  if (next == this->counted) {
    return true;
  }
  if (!this->budget.Resize(this->owner, this->kind, this->counted, next)) {
    return false;
  }
  this->counted = next;
  return true;
}

void BufferShare::Release() { this->Resize(0); }

}  // namespace masticrill
