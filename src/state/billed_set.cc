#include "state/billed_set.h"

#include <algorithm>
#include <charconv>

namespace masticrill::state {

std::optional<NumberedRequest> ParseNumberedRequest(const RequestId& request) {
  const std::string_view text = request.Value();
  const auto dash = text.rfind('-');
  if (dash == std::string_view::npos || dash == 0) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(dash + 1);
  std::uint64_t number = 0;
  const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  // With a leading zero, two ids would have the same number.
  const bool is_number = status == std::errc() && end == digits.data() + digits.size();
  if (!is_number || number == 0 || digits.front() == '0') {
    return std::nullopt;
  }
  return NumberedRequest{text.substr(0, dash), number};
}

BilledStatus BilledSet::Add(const NumberedRequest& request, const BilledSetLimits& limits,
                            WallTimeMs now) {
  const std::uint64_t id = this->FindOrAddSource(request.source, limits);
  Source& source = this->sources[id];
  if (request.number < source.expired_below) {
    return BilledStatus::kTooLate;
  }
  const ChunkKey key{id, request.number / kNumbersPerChunk};
  Chunk* chunk = this->chunks.Find(key);
  if (chunk == nullptr) {
    if (this->chunks.Size() >= limits.max_chunks) {
      return BilledStatus::kFull;
    }
    chunk = &this->chunks.Insert(
        key, {key, std::vector<std::uint64_t>(kWordsPerChunk), now + limits.window_ms});
    ++source.live_chunks;
  }
  std::uint64_t& word = chunk->words[request.number % kNumbersPerChunk / kBitsPerWord];
  const std::uint64_t bit = std::uint64_t{1} << (request.number % kBitsPerWord);
  if ((word & bit) != 0) {
    return BilledStatus::kPresent;
  }
  word |= bit;
  chunk->expires_at = now + limits.window_ms;
  return BilledStatus::kAdded;
}

void BilledSet::Expire(WallTimeMs now) {
  this->chunks.Expire(now, [this](const Chunk& chunk) {
    Source& source = this->sources[chunk.key.source];
    const std::uint64_t end = (chunk.key.index + 1) * kNumbersPerChunk;
    source.expired_below = std::max(source.expired_below, end);
    --source.live_chunks;
  });
}

std::uint64_t BilledSet::FindOrAddSource(std::string_view name, const BilledSetLimits& limits) {
  const std::string text(name);
  if (const auto found = this->source_ids.find(text); found != this->source_ids.end()) {
    return found->second;
  }
  if (this->sources.size() >= limits.max_sources) {
    this->EvictIdleSource();
  }
  const std::uint64_t id = ++this->last_source_id;
  this->source_ids.emplace(text, id);
  this->sources[id].name = text;
  return id;
}

void BilledSet::EvictIdleSource() {
  const auto idle = std::find_if(this->sources.begin(), this->sources.end(),
                                 [](const auto& entry) { return entry.second.live_chunks == 0; });
  if (idle != this->sources.end()) {
    this->source_ids.erase(idle->second.name);
    this->sources.erase(idle);
  }
}

}  // namespace masticrill::state
