#include "masticrill/common/memory.h"

#include <malloc.h>

namespace masticrill {

void ReturnLargeBlocks() {
  // The library raises this threshold to the size of the largest freed block unless it is set.
  constexpr int kLargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace masticrill
