#include "masticrill/common/nearest.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace masticrill {

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row.back();
}

std::string Nearest(std::string_view word, const std::vector<std::string>& candidates) {
  std::string nearest;
  std::size_t best = SIZE_MAX;
  for (const std::string& candidate : candidates) {
    if (const std::size_t distance = EditDistance(word, candidate); distance < best) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace masticrill
