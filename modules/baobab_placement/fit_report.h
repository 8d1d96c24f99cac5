#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "baobab_base/strong_id.h"

namespace baobab::placement {

/// A model that the contracts would name, with the memory of one copy in MB.
struct ModelNeed {
  ModelId model_;
  std::int64_t memory_mb_ = 0;
};

/// A server that could hold copies: memory for models in MB.
struct ModelRoom {
  TargetId target_;
  std::int64_t memory_mb_ = 0;
};

/// Whether one copy of every model fits on the servers, and if not, what is
/// missing.
struct FitReport {
  std::int64_t needed_mb_ = 0;        ///< One copy of each model.
  std::int64_t available_mb_ = 0;     ///< Of all servers.
  std::vector<ModelNeed> too_large_;  ///< Larger than any server.
  std::vector<ModelNeed> unplaced_;   ///< Found no room beside the others.

  /// Returns true if nothing is missing.
  [[nodiscard]] auto fits() const -> bool {
    return too_large_.empty() && unplaced_.empty();
  }
  /// Returns one line per missing model, or "fits".
  [[nodiscard]] auto ToText() const -> std::string;
};

/// Packs one copy of each model, the largest first, where least room is left.
/// A report that fits is proof that a placement exists; one that does not fit
/// may be too strict by the loss of the packing.
[[nodiscard]] auto CheckFit(std::vector<ModelNeed> models,
                            std::vector<ModelRoom> servers) -> FitReport;

}  // namespace baobab::placement
