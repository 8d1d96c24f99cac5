#pragma once

#include <string_view>

#include "messages.h"

namespace baobab {

/// Marks a request that a daemon forwarded; it must not be forwarded again.
inline constexpr std::string_view kHopHeader = "X-Baobab-Hop";

/// Returns the deadline of a request: `X-Deadline-Ms` after its arrival, or
/// `fallback` without that header, but at most `longest` (if not zero).
[[nodiscard]] auto DeadlineOf(const RequestArrived& arrived,
                              std::chrono::milliseconds longest,
                              Duration fallback) -> TimePoint;

}  // namespace baobab
