#include "masticrill/net/pending_reads.h"

#include <utility>

namespace masticrill::net {

PendingReads::Registration::Registration(PendingReads& reads, SocketStream& stream, TimePoint now)
    : reads(reads), stream(stream), since(now) {
  const std::scoped_lock lock(reads.mutex);
  this->place = reads.pending.insert(reads.pending.end(), this);
}

PendingReads::Registration::~Registration() { this->Finish(); }

bool PendingReads::Registration::Finish() {
  const std::scoped_lock lock(this->reads.mutex);
  if (std::exchange(this->is_pending, false)) {
    this->reads.pending.erase(this->place);
  }
  return this->given_up;
}

bool PendingReads::GiveUpOldest(TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  if (this->pending.empty() || now - this->pending.front()->since < this->min_age) {
    return false;
  }
  Registration& oldest = *this->pending.front();
  this->pending.pop_front();
  oldest.is_pending = false;
  oldest.given_up = true;
  oldest.stream.StopReading();
  ++this->count;
  return true;
}

}  // namespace masticrill::net
