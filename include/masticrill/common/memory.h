#ifndef MASTICRILL_COMMON_MEMORY_H_
#define MASTICRILL_COMMON_MEMORY_H_

namespace masticrill {

/// Lets large blocks go back to the system as soon as they are freed, instead of being kept for
/// later ones of their size. Called once, before other threads start.
void ReturnLargeBlocks();

/// Returns freed memory to the system. Takes milliseconds; called after work that needed much.
void ReturnFreeMemory();

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_MEMORY_H_
