#pragma once

#include <concepts>

#include "baobab_replay/replay.h"
#include "baobab_replay/trace.h"

namespace baobab::replay {

/// Core classes under replay: built from a trace's settings and seed, fed its
/// events in order, and asked for the measures at the end.
template <class S>
concept ReplaySubject = std::constructible_from<S, const Trace&> &&
    requires(S subject, const TraceEvent& event) {
  { subject.Apply(event) } -> std::same_as<void>;
  { subject.Finish() } -> std::same_as<Measures>;
};

}  // namespace baobab::replay
