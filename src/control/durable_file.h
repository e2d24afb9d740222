#ifndef MASTICRILL_CONTROL_DURABLE_FILE_H_
#define MASTICRILL_CONTROL_DURABLE_FILE_H_

#include <string>
#include <string_view>

#include "masticrill/common/result.h"

namespace masticrill::control {

/// Creates the folder and its missing parents; durable on return.
Result<void> MakeFolders(const std::string& folder);

/// Replaces the content of a file atomically; durable on return.
Result<void> WriteDurably(const std::string& folder, const std::string& name,
                          std::string_view content);

/// Whether the folder takes a write that is larger than what a start needs, and syncs it.
bool TakesWrites(const std::string& folder);

/// Removes the files in the folder and below it; durable on return. The folders stay.
Result<void> RemoveFiles(const std::string& folder);

/// Marks the content of the folder for removal by RemoveDiscarded; durable on return.
Result<void> Discard(const std::string& folder);

/// Removes the content of a folder that is marked for removal. A removal that a crash interrupted
/// is completed by the next call.
Result<void> RemoveDiscarded(const std::string& folder);

/// The content of a file; empty when the file does not exist.
Result<std::string> ReadIfPresent(const std::string& path);

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_DURABLE_FILE_H_
