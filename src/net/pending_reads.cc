#include "masticrill/net/pending_reads.h"

namespace masticrill::net {

PendingReads::Registration::Registration(PendingReads& reads, SocketStream& stream, TimePoint now)
    : reads(reads), stream(stream), since(now) {
  const std::scoped_lock lock(reads.mutex);
  this->place = reads.pending.insert(reads.pending.end(), this);
}

PendingReads::Registration::~Registration() {
  const std::scoped_lock lock(this->reads.mutex);
  if (!this->given_up) {
    this->reads.pending.erase(this->place);
  }
}

bool PendingReads::GiveUpOldest(TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  if (this->pending.empty() || now - this->pending.front()->since < this->min_age) {
    return false;
  }
  Registration& oldest = *this->pending.front();
  this->pending.pop_front();
  oldest.given_up = true;
  oldest.stream.StopReading();
  ++this->count;
  return true;
}

}  // namespace masticrill::net
