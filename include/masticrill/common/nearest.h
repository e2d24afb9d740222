#ifndef MASTICRILL_COMMON_NEAREST_H_
#define MASTICRILL_COMMON_NEAREST_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace masticrill {

/// The least number of inserted, deleted and replaced bytes that turn one text into the other.
std::size_t EditDistance(std::string_view left, std::string_view right);

/// The candidate with the least edit distance, the first among equals; empty without candidates.
std::string Nearest(std::string_view word, const std::vector<std::string>& candidates);

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_NEAREST_H_
