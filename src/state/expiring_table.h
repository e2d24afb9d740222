#ifndef MASTICRILL_STATE_EXPIRING_TABLE_H_
#define MASTICRILL_STATE_EXPIRING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "masticrill/common/clock.h"

namespace masticrill::state {

/// The maximum number of records that one call of ExpiringTable::Expire examines, so that a jump of
/// the time does not block the replica. A command adds fewer records, so the backlog shrinks.
inline constexpr int kMaxExpiredPerCall = 64;

/// A map whose records are removed some time after their `expires_at`, never before. Raising the
/// `expires_at` of a record extends its lifetime. Not thread-safe.
template <typename Key, typename Record>
class ExpiringTable {
 public:
  ExpiringTable() = default;
  ExpiringTable(const ExpiringTable&) = delete;
  ExpiringTable& operator=(const ExpiringTable&) = delete;
  // Iterators into a map stay valid when the map is moved.
  ExpiringTable(ExpiringTable&&) noexcept = default;
  ExpiringTable& operator=(ExpiringTable&&) noexcept = default;
  ~ExpiringTable() = default;

  std::size_t Size() const { return this->records.size(); }

  Record* Find(const Key& key) {
    const auto position = this->records.find(key);
    return position == this->records.end() ? nullptr : &position->second;
  }

  const Record* Find(const Key& key) const {
    const auto position = this->records.find(key);
    return position == this->records.end() ? nullptr : &position->second;
  }

  /// The key must not be present.
  Record& Insert(const Key& key, Record record) {
    const auto [position, added] = this->records.emplace(key, std::move(record));
    this->expiry_queue.push_back({position->second.expires_at, position});
    return position->second;
  }

  /// Removes expired records. Calls `on_expire(record)` before each removal; the function may keep
  /// the record by raising its expires_at.
  template <typename OnExpire>
  void Expire(WallTimeMs now, OnExpire&& on_expire) {
    for (int i = 0; i < kMaxExpiredPerCall; ++i) {
      if (this->expiry_queue.empty() || this->expiry_queue.front().due_at > now) {
        return;
      }
      const auto position = this->expiry_queue.front().position;
      this->expiry_queue.pop_front();
      if (position->second.expires_at <= now) {
        on_expire(position->second);
      }
      if (position->second.expires_at <= now) {
        this->records.erase(position);
      } else {
        this->expiry_queue.push_back({position->second.expires_at, position});
      }
    }
  }

  void Expire(WallTimeMs now) {
    this->Expire(now, [](const Record&) {});
  }

  /// Calls `function(key, record)` in the order of the keys.
  template <typename Function>
  void ForEach(Function&& function) const {
    for (const auto& [key, record] : this->records) {
      function(key, record);
    }
  }

  template <typename Archive>
  void save(Archive& archive) const {
    archive(static_cast<std::uint64_t>(this->expiry_queue.size()));
    for (const ExpiryEntry& entry : this->expiry_queue) {
      archive(entry.due_at, entry.position->first, entry.position->second);
    }
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint64_t count = 0;
    archive(count);
    for (std::uint64_t i = 0; i < count; ++i) {
      WallTimeMs due_at = 0;
      Key key;
      Record record;
      archive(due_at, key, record);
      const auto [position, added] = this->records.emplace(std::move(key), std::move(record));
      if (added) {
        this->expiry_queue.push_back({due_at, position});
      }
    }
  }

 private:
  using Records = std::map<Key, Record>;
  /// A record and when it is next examined, which is before its expires_at if that was raised.
  struct ExpiryEntry {
    WallTimeMs due_at = 0;
    typename Records::iterator position;
  };

  Records records;
  std::deque<ExpiryEntry> expiry_queue;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_EXPIRING_TABLE_H_
