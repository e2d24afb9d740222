#ifndef MASTICRILL_STORAGE_FILE_OPERATIONS_H_
#define MASTICRILL_STORAGE_FILE_OPERATIONS_H_

#include <cerrno>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticrill::storage {

/// The errno of a failed call; 0 on success.
using Errno = int;
/// Whether the error tells that the disk or the user's quota has no room left.
constexpr bool IsDiskFull(Errno error) { return error == ENOSPC || error == EDQUOT; }
/// A handle of an open file.
using FileHandle = int;

/// The file operations that the storage needs. Paths include the folder. All operations but Close
/// return an errno.
///
/// - Write appends the whole of the data to a file that Create or OpenToAppend opened, or fails.
/// - Sync makes the content of the file durable; SyncFolder makes the names in the folder durable.
/// - TryLock prevents other processes from locking the same file until `files` is destroyed.
template <typename F>
concept FileOperations = requires(F files, const std::string& path, std::string_view data,
                                  FileHandle handle, FileHandle& handle_out, std::string& data_out,
                                  std::vector<std::string>& names_out, std::uint64_t size) {
  { files.MakeFolder(path) } -> std::same_as<Errno>;
  { files.List(path, names_out) } -> std::same_as<Errno>;
  { files.TryLock(path) } -> std::same_as<Errno>;
  { files.ReadAll(path, data_out) } -> std::same_as<Errno>;
  { files.Create(path, handle_out) } -> std::same_as<Errno>;
  { files.OpenToAppend(path, handle_out) } -> std::same_as<Errno>;
  { files.Write(handle, data) } -> std::same_as<Errno>;
  { files.Truncate(handle, size) } -> std::same_as<Errno>;
  { files.Sync(handle) } -> std::same_as<Errno>;
  { files.Close(handle) } -> std::same_as<void>;
  { files.Rename(path, path) } -> std::same_as<Errno>;
  { files.Remove(path) } -> std::same_as<Errno>;
  { files.SyncFolder(path) } -> std::same_as<Errno>;
};

/// The operations of the POSIX file system. Used by one thread.
class PosixFiles {
 public:
  PosixFiles() = default;
  PosixFiles(const PosixFiles&) = delete;
  PosixFiles& operator=(const PosixFiles&) = delete;
  ~PosixFiles();

  Errno MakeFolder(const std::string& path);
  Errno List(const std::string& path, std::vector<std::string>& names);
  Errno TryLock(const std::string& path);
  Errno ReadAll(const std::string& path, std::string& data);
  Errno Create(const std::string& path, FileHandle& handle);
  Errno OpenToAppend(const std::string& path, FileHandle& handle);
  Errno Write(FileHandle handle, std::string_view data);
  Errno Truncate(FileHandle handle, std::uint64_t size);
  Errno Sync(FileHandle handle);
  void Close(FileHandle handle);
  Errno Rename(const std::string& from, const std::string& to);
  Errno Remove(const std::string& path);
  Errno SyncFolder(const std::string& path);

 private:
  static constexpr FileHandle kInvalidHandle = -1;

  FileHandle lock_handle = kInvalidHandle;
};

static_assert(FileOperations<PosixFiles>);

}  // namespace masticrill::storage

#endif  // MASTICRILL_STORAGE_FILE_OPERATIONS_H_
