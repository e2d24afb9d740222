#include "control/durable_file.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <vector>

#include "masticrill/storage/file_operations.h"

namespace masticrill::control {
namespace {

using storage::Errno;

constexpr const char* kDiscardMark = "discarded";

Result<void> Check(Errno error, const std::string& path) {
  if (error == 0) {
    return {};
  }
  return Fail(storage::IsDiskFull(error) ? ErrorKind::kStorageFull : ErrorKind::kStorageFailed,
              "Cannot access " + path + " (" + std::strerror(error) +
                  "). Check the disk and the folder's owner.");
}

Result<void> RemoveFilesExcept(const std::string& folder, const std::string& kept) {
  storage::PosixFiles files;
  std::vector<std::string> names;
  BOOST_LEAF_CHECK(Check(files.List(folder, names), folder));
  for (const std::string& name : names) {
    const std::string path = folder + "/" + name;
    if (name == kept) {
      continue;
    }
    std::error_code error;
    if (std::filesystem::is_directory(path, error)) {
      BOOST_LEAF_CHECK(RemoveFilesExcept(path, ""));
    } else {
      BOOST_LEAF_CHECK(Check(files.Remove(path), path));
    }
  }
  return Check(files.SyncFolder(folder), folder);
}

}  // namespace

Result<void> MakeFolders(const std::string& folder) {
  std::error_code error;
  const std::filesystem::path path = std::filesystem::absolute(folder, error);
  std::filesystem::create_directories(path, error);
  BOOST_LEAF_CHECK(Check(error.value(), folder));
  storage::PosixFiles files;
  return Check(files.SyncFolder(path.parent_path().string()), folder);
}

Result<void> WriteDurably(const std::string& folder, const std::string& name,
                          std::string_view content) {
  storage::PosixFiles files;
  const std::string path = folder + "/" + name;
  const std::string temporary_path = path + ".new";
  storage::FileHandle handle = -1;
  BOOST_LEAF_CHECK(Check(files.MakeFolder(folder), folder));
  files.Remove(temporary_path);
  BOOST_LEAF_CHECK(Check(files.Create(temporary_path, handle), temporary_path));
  const Errno written = files.Write(handle, content);
  const Errno synced = written == 0 ? files.Sync(handle) : written;
  files.Close(handle);
  BOOST_LEAF_CHECK(Check(synced, temporary_path));
  BOOST_LEAF_CHECK(Check(files.Rename(temporary_path, path), path));
  return Check(files.SyncFolder(folder), folder);
}

bool TakesWrites(const std::string& folder) {
  constexpr const char* kName = "write_check";
  constexpr std::size_t kBytes = std::size_t{256} << 10U;
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(WriteDurably(folder, kName, std::string(kBytes, '\0')));
        storage::PosixFiles files;
        BOOST_LEAF_CHECK(Check(files.Remove(folder + "/" + kName), folder));
        return true;
      },
      [](const Error&) { return false; });
}

Result<void> RemoveFiles(const std::string& folder) { return RemoveFilesExcept(folder, ""); }

Result<void> Discard(const std::string& folder) { return WriteDurably(folder, kDiscardMark, ""); }

Result<void> RemoveDiscarded(const std::string& folder) {
  std::error_code error;
  if (!std::filesystem::exists(folder + "/" + kDiscardMark, error)) {
    return Check(error.value(), folder);
  }
  BOOST_LEAF_CHECK(RemoveFilesExcept(folder, kDiscardMark));
  return RemoveFiles(folder);
}

Result<std::string> ReadIfPresent(const std::string& path) {
  storage::PosixFiles files;
  std::string content;
  const Errno error = files.ReadAll(path, content);
  if (error == ENOENT) {
    return std::string();
  }
  BOOST_LEAF_CHECK(Check(error, path));
  return content;
}

}  // namespace masticrill::control
