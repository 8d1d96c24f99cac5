#pragma once

#include <cstdint>
#include <optional>

#include "baobab_placement/server_record.h"

namespace baobab::placement {

/// What happens to a copy of a model on one server.
enum class CopyEvent : std::uint8_t {
  kLoadRecorded,    ///< A load order was written into the record.
  kLoadProven,      ///< The order is finished and the copy is reported.
  kLoadFailed,      ///< The order is finished and the copy is not reported.
  kUnloadRecorded,  ///< An unload order was written into the record.
  kUnloadProven,    ///< The order is finished and the copy is not reported.
  kUnloadFailed,    ///< The order is finished and the copy is reported.
  kOrderFenced,     ///< The engine will reject the order for its fence.
  kEngineReplaced,  ///< A new engine incarnation reported.
};

/// Returns the phase after `event` in phase `from`, where an empty optional is
/// an absent copy. Returns `from` if the life cycle has no such transition.
/// The transition table is the Boost.MSM table in the implementation.
[[nodiscard]] auto Advance(std::optional<CopyPhase> from, CopyEvent event)
    -> std::optional<CopyPhase>;

}  // namespace baobab::placement
