#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "tools/placement_bench/fleet_shape.h"

namespace baobab::placement::bench {

/// One copy on a simulated server.
struct SimulatedCopy {
  std::size_t model_ = 0;
  enum class Phase : std::uint8_t { kLoading, kReady, kUnloading };
  Phase phase_ = Phase::kLoading;
  double ends_at_ = 0;  ///< Of loading or unloading.
  double last_used_ = 0;
};

/// Fluid model of a fleet: work waits per model, is divided over the servers
/// that hold the model in proportion to their free compute, and is missed if it
/// is not served within the deadline. Loads share the rate of the weight store:
/// each takes full_speed_loads / loads_per_second, and longer beyond that many.
class FleetSimulation {
 public:
  FleetSimulation(const FleetShape& shape, std::vector<std::int64_t> memory_mb);

  /// Adds a copy that is ready at once and is not counted as a move.
  auto Preload(std::size_t server, std::size_t model) -> bool;
  /// Begins a move. A load waits until its memory is free, `delay` seconds at
  /// least. Moves that make no sense are ignored.
  auto Begin(const Move& move, double delay) -> void;
  /// Takes the requests that arrive in one step and serves for one step.
  auto Step(const std::vector<std::size_t>& arrivals) -> void;
  /// Stops or starts a server; a stopped one loses its copies.
  auto SetLive(std::size_t server, bool live) -> void;
  /// Forgets the counts, after a warm-up.
  auto ResetCounts() -> void;

  [[nodiscard]] auto shape() const -> const FleetShape& { return shape_; }
  [[nodiscard]] auto now() const -> double { return now_; }
  [[nodiscard]] auto contents(std::size_t server) const
      -> const std::vector<SimulatedCopy>& {
    return servers_[server].copies_;
  }
  [[nodiscard]] auto IsLive(std::size_t server) const -> bool {
    return servers_[server].live_;
  }
  [[nodiscard]] auto FreeMb(std::size_t server) const -> std::int64_t {
    return shape_.memory_mb_ - servers_[server].used_mb_ -
           servers_[server].promised_mb_;
  }
  [[nodiscard]] auto FreeCompute(std::size_t server) const -> double {
    return servers_[server].free_;
  }
  [[nodiscard]] auto Holds(std::size_t server, std::size_t model) const -> bool;
  /// Ready copies of a model on live servers.
  [[nodiscard]] auto ReadyCopies(std::size_t model) const -> std::size_t {
    return holders_[model].size();
  }
  [[nodiscard]] auto LoadingCopies(std::size_t model) const -> std::size_t {
    return loading_of_[model];
  }
  /// Work of a model that waits after the last step.
  [[nodiscard]] auto Waiting(std::size_t model) const -> double;
  /// Work of a model that has waited for at least half its deadline.
  [[nodiscard]] auto Overdue(std::size_t model) const -> double;
  [[nodiscard]] auto memory_mb(std::size_t model) const -> std::int64_t {
    return memory_mb_[model];
  }
  /// Server and model of each load that waits for its order or for memory.
  [[nodiscard]] auto PromisedLoads() const
      -> std::vector<std::pair<std::size_t, std::size_t>> {
    std::vector<std::pair<std::size_t, std::size_t>> loads;
    for (const auto& load : waiting_loads_) {
      loads.emplace_back(load.move_.server_, load.move_.model_);
    }
    return loads;
  }
  [[nodiscard]] auto loads_in_flight() const -> std::size_t {
    return loading_ + waiting_loads_.size();
  }

  /// Part of the arrived work that was served in time.
  [[nodiscard]] auto Attainment() const -> double;
  /// Work per second served in time.
  [[nodiscard]] auto ServedPerSecond() const -> double;
  [[nodiscard]] auto MovesPerHour() const -> double;

 private:
  struct Server {
    bool live_ = true;
    std::int64_t used_mb_ = 0;
    std::int64_t promised_mb_ = 0;  ///< Of loads that wait for memory.
    double free_ = 0;
    std::vector<SimulatedCopy> copies_;
  };
  struct WaitingLoad {
    Move move_;
    double from_ = 0;
  };

  auto EndMoves() -> void;
  auto StartLoads() -> void;
  auto Serve(std::size_t model, std::size_t age) -> void;

  FleetShape shape_;
  std::vector<std::int64_t> memory_mb_;
  std::vector<Server> servers_;
  std::vector<std::vector<std::size_t>> holders_;
  std::vector<std::size_t> loading_of_;
  std::vector<std::deque<double>> waiting_;  ///< Work by age, newest last.
  std::deque<WaitingLoad> waiting_loads_;
  std::size_t loading_ = 0;
  std::size_t steps_per_deadline_;
  double now_ = 0;
  double counted_from_ = 0;
  double arrived_ = 0;
  double served_ = 0;
  std::size_t moves_ = 0;
};

}  // namespace baobab::placement::bench
