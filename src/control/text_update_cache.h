#ifndef MASTICRILL_CONTROL_TEXT_UPDATE_CACHE_H_
#define MASTICRILL_CONTROL_TEXT_UPDATE_CACHE_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "masticrill/config/text_delta.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {

/// The most bytes of an update that one lease reply carries. A node's link carries this much well
/// within the time-out of the request, also beside its callers' requests.
inline constexpr std::size_t kMaxTextPieceBytes = std::size_t{64} << 10U;

/// Encodes the updates of the declaration's text that nodes fetch in pieces, and keeps the last
/// few, since many nodes need the same one at the same time. Thread-safe.
class TextUpdateCache {
 public:
  /// The piece that follows what the node has received, or the first one of another update.
  net::TextPiece NextPiece(const net::RenewRequest& request, const config::TextUpdate& update);

 private:
  struct Encoded {
    /// The digests of the texts between which it leads.
    std::string from;
    std::string to;
    std::string id;
    std::string bytes;
  };

  std::shared_ptr<const Encoded> Find(const std::string& from, const config::TextUpdate& update);

  std::mutex mutex;
  std::deque<std::shared_ptr<const Encoded>> kept;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_TEXT_UPDATE_CACHE_H_
