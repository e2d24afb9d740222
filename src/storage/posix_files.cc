#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <memory>

#include "masticrill/storage/file_operations.h"

namespace masticrill::storage {
namespace {

constexpr mode_t kFolderMode = 0750;
constexpr mode_t kFileMode = 0640;
constexpr std::size_t kReadBytes = std::size_t{1} << 20U;

Errno ErrnoOf(int result) { return result < 0 ? errno : 0; }

Errno Open(const std::string& path, int flags, FileHandle& handle) {
  handle = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  return ErrnoOf(handle);
}

}  // namespace

PosixFiles::~PosixFiles() {
  if (this->lock_handle != kInvalidHandle) {
    ::close(this->lock_handle);
  }
}

Errno PosixFiles::MakeFolder(const std::string& path) {
  const Errno error = ErrnoOf(::mkdir(path.c_str(), kFolderMode));
  return error == EEXIST ? 0 : error;
}

Errno PosixFiles::List(const std::string& path, std::vector<std::string>& names) {
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(::opendir(path.c_str()), &::closedir);
  if (!folder) {
    return errno;
  }
  errno = 0;
  while (const dirent* entry = ::readdir(folder.get())) {
    const std::string name = entry->d_name;
    if (name != "." && name != "..") {
      names.push_back(name);
    }
  }
  return errno;
}

Errno PosixFiles::TryLock(const std::string& path) {
  if (this->lock_handle == kInvalidHandle) {
    if (const Errno error = Open(path, O_RDWR | O_CREAT, this->lock_handle)) {
      return error;
    }
  }
  return ErrnoOf(::flock(this->lock_handle, LOCK_EX | LOCK_NB));
}

Errno PosixFiles::ReadAll(const std::string& path, std::string& data) {
  FileHandle handle = kInvalidHandle;
  if (const Errno error = Open(path, O_RDONLY, handle)) {
    return error;
  }
  data.clear();
  std::string buffer(kReadBytes, '\0');
  ssize_t count = 0;
  do {
    count = ::read(handle, buffer.data(), buffer.size());
    if (count > 0) {
      data.append(buffer, 0, static_cast<std::size_t>(count));
    }
  } while (count > 0 || (count < 0 && errno == EINTR));
  const Errno error = count < 0 ? errno : 0;
  ::close(handle);
  return error;
}

Errno PosixFiles::Create(const std::string& path, FileHandle& handle) {
  return Open(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, handle);
}

Errno PosixFiles::OpenToAppend(const std::string& path, FileHandle& handle) {
  return Open(path, O_WRONLY | O_APPEND, handle);
}

Errno PosixFiles::Write(FileHandle handle, std::string_view data) {
  while (!data.empty()) {
    const ssize_t count = ::write(handle, data.data(), data.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return errno;
    }
    data.remove_prefix(static_cast<std::size_t>(count));
  }
  return 0;
}

Errno PosixFiles::Truncate(FileHandle handle, std::uint64_t size) {
  return ErrnoOf(::ftruncate(handle, static_cast<off_t>(size)));
}

Errno PosixFiles::Sync(FileHandle handle) { return ErrnoOf(::fdatasync(handle)); }

void PosixFiles::Close(FileHandle handle) { ::close(handle); }

Errno PosixFiles::Rename(const std::string& from, const std::string& to) {
  return ErrnoOf(::rename(from.c_str(), to.c_str()));
}

Errno PosixFiles::Remove(const std::string& path) { return ErrnoOf(::unlink(path.c_str())); }

Errno PosixFiles::SyncFolder(const std::string& path) {
  FileHandle handle = kInvalidHandle;
  if (const Errno error = Open(path, O_RDONLY | O_DIRECTORY, handle)) {
    return error;
  }
  const Errno error = ErrnoOf(::fsync(handle));
  ::close(handle);
  return error;
}

}  // namespace masticrill::storage
