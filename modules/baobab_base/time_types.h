#pragma once

#include <chrono>

namespace baobab {

/// Time step of the core: one microsecond.
using Duration = std::chrono::microseconds;

/// Point on the monotonic clock of one process. Never sent to another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Point on the wall clock, for records that people or other processes read.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

}  // namespace baobab
