#ifndef MASTICRILL_STATE_PIN_TABLE_H_
#define MASTICRILL_STATE_PIN_TABLE_H_

#include <optional>

#include "masticrill/config/configuration.h"
#include "masticrill/state/commands.h"
#include "masticrill/state/replicated_state.h"
#include "masticrill/state/results.h"
#include "state/expiring_table.h"

namespace masticrill::state {

/// The model versions to which sessions are pinned. Not thread-safe.
class PinTable {
 public:
  PinResult Apply(const PinSession& command, const config::Configuration& configuration,
                  const Limits& limits, WallTimeMs now);
  PinResult Apply(const RepinSession& command, const config::Configuration& configuration,
                  const Limits& limits, WallTimeMs now);
  void Expire(WallTimeMs now) { this->pins.Expire(now); }

  std::optional<PinResult> Find(const PinKey& key,
                                const config::Configuration& configuration) const;
  std::size_t Size() const { return this->pins.Size(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->pins);
  }

 private:
  struct PinRecord {
    VersionId version;
    bool was_repinned = false;
    WallTimeMs expires_at = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->version, this->was_repinned, this->expires_at);
    }
  };

  ExpiringTable<PinKey, PinRecord> pins;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_PIN_TABLE_H_
