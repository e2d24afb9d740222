#include "masticrill/storage/file_log_storage.h"

#include "storage/file_log_storage_inl.h"

namespace masticrill::storage {

template class FileLogStorage<PosixFiles>;

static_assert(LogStorage<FileLogStorage<PosixFiles>>);

}  // namespace masticrill::storage
