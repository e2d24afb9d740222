#ifndef MASTICRILL_COMMON_BUFFER_BUDGET_H_
#define MASTICRILL_COMMON_BUFFER_BUDGET_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace masticrill {

/// What a process buffers for its peers.
enum class BufferKind {
  kRequestHead,  // A caller's request line and header fields, also as they are parsed.
  kRequestBody,  // A caller's request, kept until its end.
  kAnswerHead,   // The unfinished head of an upstream's answer.
  kAnswerBody,   // An upstream's answer that is sent when it is complete.
  kEvent,        // The unfinished event at the end of a stream.
};

inline constexpr std::array kAllBufferKinds = {BufferKind::kRequestHead, BufferKind::kRequestBody,
                                               BufferKind::kAnswerHead, BufferKind::kAnswerBody,
                                               BufferKind::kEvent};

std::string_view ToString(BufferKind kind);

/// Bounds the bytes that a process buffers for its peers. Each owner, such as a team or a service,
/// may hold three quarters of what the other owners leave, and each buffer a share of what its
/// owner may still hold. So buffers that grow without end, however many, leave room for those of
/// the same owner that stay small, and for other owners. Thread-safe.
class BufferBudget {
 public:
  /// What every buffer may hold without being counted, but for heads of requests.
  static constexpr std::size_t kFreeBytes = std::size_t{16} << 10U;
  /// The same for heads of requests, of which each connection has one.
  static constexpr std::size_t kFreeHeadBytes = std::size_t{4} << 10U;

  explicit BufferBudget(std::size_t max_bytes) : max_bytes(max_bytes) {}

  std::size_t MaxBytes() const { return this->max_bytes; }
  /// The bytes of all buffers, except for what each may hold uncounted.
  std::size_t HeldBytes() const;
  std::size_t HeldBytes(BufferKind kind) const;
  /// How often a buffer of the kind was refused more bytes.
  std::uint64_t Refusals(BufferKind kind) const;

 private:
  friend class BufferShare;

  struct Kind {
    std::size_t held = 0;
    std::uint64_t refusals = 0;
  };

  /// Changes the counted size of one buffer, unless it may not be as large.
  bool Resize(const std::string& owner, BufferKind kind, std::size_t former, std::size_t next);

  std::size_t max_bytes;
  mutable std::mutex mutex;
  std::size_t held = 0;
  /// Owners without counted bytes have no entry.
  std::map<std::string, std::size_t> owners;
  std::array<Kind, kAllBufferKinds.size()> kinds;
};

/// The part of one buffer in a budget, which must outlive it. Used by one thread.
class BufferShare {
 public:
  BufferShare(BufferBudget& budget, BufferKind kind, std::string owner)
      : budget(budget), kind(kind), owner(std::move(owner)) {}
  ~BufferShare() { this->Release(); }
  BufferShare(const BufferShare&) = delete;
  BufferShare& operator=(const BufferShare&) = delete;

  /// Records that the buffer has that size, or is about to have it. Returns false, and changes
  /// nothing, when it may not be as large: the buffer must be given up then.
  bool Resize(std::size_t bytes);
  /// Records that the buffer is gone.
  void Release();

 private:
  BufferBudget& budget;
  BufferKind kind;
  std::string owner;
  std::size_t counted = 0;
};

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_BUFFER_BUDGET_H_
