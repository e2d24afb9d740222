#ifndef MASTICRILL_COMMON_MEMORY_H_
#define MASTICRILL_COMMON_MEMORY_H_

namespace masticrill {

/// Lets large blocks go back to the system as soon as they are freed, instead of being kept for
/// later ones of their size. Called once, before other threads start.
void ReturnLargeBlocks();

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_MEMORY_H_
