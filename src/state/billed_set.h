#ifndef MASTICRILL_STATE_BILLED_SET_H_
#define MASTICRILL_STATE_BILLED_SET_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "state/expiring_table.h"

namespace masticrill::state {

/// A request id of the form "<source>-<number>", as entries generate them: the source is an entry's
/// name and incarnation, and the numbers count up from 1.
struct NumberedRequest {
  std::string_view source;
  std::uint64_t number = 0;
};

/// Splits a request id; returns nothing when the id has another form. The source refers to the
/// text of `request`.
std::optional<NumberedRequest> ParseNumberedRequest(const RequestId& request);

/// Limits of a BilledSet. They must be equal on all replicas.
struct BilledSetLimits {
  /// How long a chunk of numbers is kept after the last number was added to the chunk.
  std::int64_t window_ms = 24LL * 3600 * 1000;
  /// The maximum number of chunks, of BilledSet::kNumbersPerChunk numbers each.
  std::size_t max_chunks = 65'536;
  /// When this many sources are kept, a new source evicts one without chunks, if there is any. The
  /// bound of the evicted source's expired numbers is lost.
  std::size_t max_sources = 65'536;
};

enum class BilledStatus {
  kAdded,
  kPresent,
  kTooLate,  // The chunk of the number has expired, so the number may have been added before.
  kFull,
};

/// The numbered requests that were billed, with one bit for each number. Not thread-safe.
///
/// A number is never added twice while its source is kept: numbers of expired chunks are refused.
/// The result does not depend on the clock of the node that reports a request.
class BilledSet {
 public:
  BilledStatus Add(const NumberedRequest& request, const BilledSetLimits& limits, WallTimeMs now);
  void Expire(WallTimeMs now);
  std::size_t ChunkCount() const { return this->chunks.Size(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->chunks, this->sources, this->source_ids, this->last_source_id);
  }

 private:
  static constexpr std::uint64_t kBitsPerWord = 64;
  static constexpr std::uint64_t kWordsPerChunk = 64;
  static constexpr std::uint64_t kNumbersPerChunk = kBitsPerWord * kWordsPerChunk;

  struct Source {
    std::string name;
    /// Numbers below this bound belong to expired chunks and are refused.
    std::uint64_t expired_below = 0;
    std::uint64_t live_chunks = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->name, this->expired_below, this->live_chunks);
    }
  };

  struct ChunkKey {
    std::uint64_t source = 0;
    std::uint64_t index = 0;

    friend auto operator<=>(const ChunkKey&,
                            const ChunkKey&) = default;  // NOLINT(modernize-use-nullptr)
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->source, this->index);
    }
  };

  struct Chunk {
    ChunkKey key;
    std::vector<std::uint64_t> words;
    WallTimeMs expires_at = 0;

    template <typename Archive>
    void save(Archive& archive) const {
      archive(this->key, this->words, this->expires_at);
    }

    template <typename Archive>
    void load(Archive& archive) {
      archive(this->key, this->words, this->expires_at);
      this->words.resize(kWordsPerChunk);
    }
  };

  std::uint64_t FindOrAddSource(std::string_view name, const BilledSetLimits& limits);
  void EvictIdleSource();

  ExpiringTable<ChunkKey, Chunk> chunks;
  /// By id, that is, in the order in which the sources were added.
  std::map<std::uint64_t, Source> sources;
  std::map<std::string, std::uint64_t> source_ids;
  std::uint64_t last_source_id = 0;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_BILLED_SET_H_
