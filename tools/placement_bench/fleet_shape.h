#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace baobab::placement::bench {

/// Sizes of a simulated deployment.
struct FleetShape {
  std::string name_;
  std::size_t servers_ = 12;
  double accelerators_ = 1;         ///< Per server.
  std::int64_t memory_mb_ = 72000;  ///< Per server, without adapter budget.
  std::size_t domains_ = 3;
  std::size_t models_ = 20;
  std::int64_t smallest_mb_ = 8000;
  std::int64_t largest_mb_ = 30000;
  double loads_per_second_ = 1.4;
  std::size_t full_speed_loads_ = 6;
  double demand_ = 5.4;  ///< Mean work per second, in accelerators.
  double step_seconds_ = 0.25;
  double work_per_request_ = 0.05;  ///< Accelerator-seconds.
};

/// What happens to one copy.
struct Move {
  bool load_ = true;
  std::size_t server_ = 0;
  std::size_t model_ = 0;
};

}  // namespace baobab::placement::bench
