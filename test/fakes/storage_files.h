#ifndef MASTICRILL_TEST_FAKES_STORAGE_FILES_H_
#define MASTICRILL_TEST_FAKES_STORAGE_FILES_H_

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/random.h"
#include "masticrill/storage/file_operations.h"

/// FileOperations in memory, which fail at a chosen call and lose unsynced data in a crash. After a
/// failed sync, what was unsynced can still be read, but no later sync of the same file makes it
/// durable.
namespace masticrill::storage {

class FakeFiles {
 public:
  /// The number of the call that fails, counted over the calls that change something; 0 for none.
  std::uint64_t failing_call = 0;
  Errno failure = EIO;
  std::uint64_t calls = 0;

  /// Keeps of each file a prefix that has at least what was synced, and the old or the new names.
  void Crash(Random& random) {
    if (random.Below(2) == 0) {
      this->names = this->durable_names;
    }
    for (auto& [path, inode] : this->names) {
      Tear(*inode, random);
    }
    this->durable_names = this->names;
    this->handles.clear();
    this->locked.clear();
  }

  /// The content of a file that exists.
  std::string& Content(const std::string& path) { return this->names.at(path)->content; }
  bool Exists(const std::string& path) const { return this->names.contains(path); }
  void Erase(const std::string& path) { this->names.erase(path); }
  std::vector<std::string> Paths() const {
    std::vector<std::string> paths;
    for (const auto& [path, inode] : this->names) {
      paths.push_back(path);
    }
    return paths;
  }
  /// Lets another storage use the folder, as after the end of the process.
  void ReleaseLocks() { this->locked.clear(); }

  Errno MakeFolder(const std::string&) { return 0; }

  Errno List(const std::string& path, std::vector<std::string>& out) {
    for (const auto& [name, inode] : this->names) {
      if (name.starts_with(path + "/")) {
        out.push_back(name.substr(path.size() + 1));
      }
    }
    return 0;
  }

  Errno TryLock(const std::string& path) {
    return this->locked.insert(path).second ? 0 : EWOULDBLOCK;
  }

  Errno ReadAll(const std::string& path, std::string& data) {
    const auto place = this->names.find(path);
    if (place == this->names.end()) {
      return ENOENT;
    }
    data = place->second->content;
    return 0;
  }

  Errno Create(const std::string& path, FileHandle& handle) {
    if (const Errno error = this->CountCall()) {
      return error;
    }
    this->names[path] = std::make_shared<Inode>();
    return this->OpenToAppend(path, handle);
  }

  Errno OpenToAppend(const std::string& path, FileHandle& handle) {
    handle = this->next_handle++;
    this->handles[handle] = this->names.at(path);
    return 0;
  }

  Errno Write(FileHandle handle, std::string_view data) {
    Inode& inode = *this->handles.at(handle);
    if (const Errno error = this->CountCall()) {
      inode.content += data.substr(0, data.size() / 2);
      return error;
    }
    inode.content += data;
    return 0;
  }

  Errno Truncate(FileHandle handle, std::uint64_t size) {
    if (const Errno error = this->CountCall()) {
      return error;
    }
    Inode& inode = *this->handles.at(handle);
    inode.content.resize(size);
    inode.dropped_end = std::min<std::size_t>(inode.dropped_end, size);
    return 0;
  }

  Errno Sync(FileHandle handle) {
    Inode& inode = *this->handles.at(handle);
    if (const Errno error = this->CountCall()) {
      inode.dropped_begin = std::min(inode.dropped_begin, inode.synced.size());
      inode.dropped_end = inode.content.size();
      return error;
    }
    inode.synced = inode.content;
    for (std::size_t at = inode.dropped_begin; at < inode.dropped_end; ++at) {
      inode.synced[at] = '\0';
    }
    return 0;
  }

  void Close(FileHandle handle) { this->handles.erase(handle); }

  Errno Rename(const std::string& from, const std::string& to) {
    if (const Errno error = this->CountCall()) {
      return error;
    }
    this->names[to] = this->names.at(from);
    this->names.erase(from);
    return 0;
  }

  Errno Remove(const std::string& path) {
    if (const Errno error = this->CountCall()) {
      return error;
    }
    this->names.erase(path);
    return 0;
  }

  Errno SyncFolder(const std::string&) {
    if (const Errno error = this->CountCall()) {
      return error;
    }
    this->durable_names = this->names;
    return 0;
  }

 private:
  struct Inode {
    std::string content;
    std::string synced;
    /// The bytes that a failed sync dropped: zero after a crash.
    std::size_t dropped_begin = std::numeric_limits<std::size_t>::max();
    std::size_t dropped_end = 0;
  };

  static void Tear(Inode& inode, Random& random) {
    if (inode.dropped_begin < inode.dropped_end) {
      inode.content = inode.synced;
    }
    inode.dropped_end = 0;
    const bool grew = inode.content.starts_with(inode.synced);
    if (grew) {
      const std::size_t extra = inode.content.size() - inode.synced.size();
      inode.content.resize(inode.synced.size() + random.Below(extra + 1));
    } else if (random.Below(2) == 0) {
      inode.content = inode.synced;
    }
    inode.synced = inode.content;
  }

  Errno CountCall() { return ++this->calls == this->failing_call ? this->failure : 0; }

  std::map<std::string, std::shared_ptr<Inode>> names;
  std::map<std::string, std::shared_ptr<Inode>> durable_names;
  std::map<FileHandle, std::shared_ptr<Inode>> handles;
  std::set<std::string> locked;
  FileHandle next_handle = 1;
};

static_assert(FileOperations<FakeFiles>);

}  // namespace masticrill::storage

#endif  // MASTICRILL_TEST_FAKES_STORAGE_FILES_H_
