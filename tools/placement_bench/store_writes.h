#pragma once

namespace baobab::placement::bench {

/// Store writes of one replacement of a copy by another on a server without
/// faults: an unload and a load, carried out by OrderTracker.
[[nodiscard]] auto StoreWritesPerReplacement() -> double;

}  // namespace baobab::placement::bench
