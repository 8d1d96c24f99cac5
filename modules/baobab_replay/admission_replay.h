#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "baobab_base/metrics_registry.h"
#include "baobab_base/virtual_network.h"
#include "baobab_limits/admission_queue.h"
#include "baobab_replay/replay.h"

namespace baobab::replay {

/// Drives an AdmissionQueue before a fixed number of slots.
///
/// Settings: `slots`, `long_slots` (most slots that long work may hold),
/// optional `max_waiting`. Events: `arrivals` (`customer`,
/// `kind`, `per_second`, `for_ms`, `service_ms`, `deadline_ms`, optional
/// `weight`; Poisson arrivals) and `slots` (`slots`). Measures per
/// `<customer>.<kind>`: `arrived`, `started`, `refused`,
/// `expired` (refused only after the deadline), `p99_wait_ms`.
class AdmissionReplay {
 public:
  explicit AdmissionReplay(const Trace& trace);

  auto Apply(const TraceEvent& event) -> void;
  auto Finish() -> Measures;

 private:
  struct Counts {
    double arrived_ = 0;
    double started_ = 0;
    double refused_ = 0;
    double expired_ = 0;
    LatencyHistogram wait_;
  };
  struct Waiting {
    TimePoint arrived_;
    TimePoint deadline_;
    Duration service_{};
    std::string flow_;
  };

  auto ScheduleSweep() -> void;
  auto ScheduleArrivals(const TraceFields& fields, TimePoint from) -> void;
  auto Arrive(const limits::QueuedRequest& request, const std::string& flow,
              TimePoint now) -> void;
  auto StartWaiting(TimePoint now) -> void;
  auto RefuseLate(TimePoint now) -> void;

  VirtualNetwork events_;
  limits::AdmissionQueue queue_;
  std::size_t slots_;
  std::size_t long_slots_;
  std::size_t busy_ = 0;
  std::size_t busy_long_ = 0;
  std::uint64_t next_id_ = 0;
  std::unordered_map<std::uint64_t, Waiting> waiting_;
  std::map<std::string, Counts> counts_;
};

}  // namespace baobab::replay
