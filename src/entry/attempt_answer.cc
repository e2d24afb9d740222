#include "entry/attempt_answer.h"

namespace masticrill::entry {

AttemptAnswer::ChunkVerdict AttemptAnswer::Take(const net::AttemptChunk& chunk) {
  if (chunk.sequence < this->next_sequence) {
    return ChunkVerdict::kRepeated;
  }
  if (chunk.sequence > this->next_sequence) {
    return ChunkVerdict::kGap;
  }
  if (chunk.sequence == 0) {
    this->http_status = chunk.http_status;
    this->headers = chunk.headers;
  }
  ++this->next_sequence;
  return ChunkVerdict::kNext;
}

void AttemptAnswer::TakeRecorded(const net::FenceReply& reply) {
  constexpr std::string_view kEventEnd = "\n\n";
  this->http_status = reply.http_status;
  this->headers = {{"Content-Type", reply.content_type}};
  std::size_t begin = 0;
  for (std::uint32_t event = 0; event < this->events && begin < reply.body.size(); ++event) {
    const std::size_t end = reply.body.find(kEventEnd, begin);
    begin = end == std::string::npos ? reply.body.size() : end + kEventEnd.size();
  }
  this->kept = reply.body.substr(begin);
}

std::string AttemptAnswer::ContentType() const {
  for (const net::HeaderField& field : this->headers) {
    if (field.name == "Content-Type" || field.name == "content-type") {
      return field.value;
    }
  }
  return "application/octet-stream";
}

bool AttemptAnswer::IsEventStream() const {
  return this->ContentType().starts_with("text/event-stream");
}

}  // namespace masticrill::entry
