#ifndef MASTICRILL_ENTRY_SESSION_TOKEN_H_
#define MASTICRILL_ENTRY_SESSION_TOKEN_H_

#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/name.h"

namespace masticrill::entry {

/// A session's pins as the caller carries them, so that the common path asks no control host.
struct SessionPins {
  TeamId team;
  SessionId session;
  std::vector<ModelVersion> pins;

  friend bool operator==(const SessionPins&, const SessionPins&) = default;
};

/// Signs pins for the header X-Session-Token.
std::string SignSessionToken(const SessionPins& pins, std::string_view key);

/// Reads a token that was signed with the key for that team and session. Returns no pins for any
/// other text; the session is then looked up.
std::vector<ModelVersion> ReadSessionToken(std::string_view token, std::string_view key,
                                           const TeamId& team, const SessionId& session);

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_SESSION_TOKEN_H_
