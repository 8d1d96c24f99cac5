#pragma once

#include <string_view>

#include "baobab_burn/burn_tracker.h"

namespace baobab::ctl {

/// Adds the counts in `body`, the answer of `/admin/burn`, to `tracker`.
/// Returns false, having added what could be read, if it is malformed.
auto MergeBurnCounts(std::string_view body, burn::BurnTracker& tracker) -> bool;

}  // namespace baobab::ctl
