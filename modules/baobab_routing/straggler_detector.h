#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_routing/target_table.h"

namespace baobab {

/// Weight of a target, for the heartbeats between instances.
struct StragglerWeight {
  TargetIndex target_ = 0;
  double weight_ = 1;
};

/// Settings of a StragglerDetector.
struct StragglerSettings {
  double outlier_ratio_ = 3;  ///< Times the median of the peers.
  double probation_below_ = 0.2;
  double probation_ends_ = 0.5;
  double max_probation_ = 1.0 / 3;  ///< Part of a model's targets.
  /// A step of recovery after this long without an observation.
  Duration recovery_interval_ = std::chrono::seconds(5);
  Duration probe_interval_ = std::chrono::seconds(1);
  Duration peer_weight_life_ = std::chrono::seconds(3);
};

/// Finds targets that are slow compared with their peers (outlier detection)
/// from the ratio of observed to predicted times.
class StragglerDetector {
 public:
  explicit StragglerDetector(StragglerSettings settings);

  /// Takes observed time / predicted time of a request, a token interval or a
  /// probe at `target`, one of `peers` that serve the same model.
  auto Observe(TargetIndex target, double ratio,
               std::span<const TargetIndex> peers, TimePoint now) -> void;

  /// Takes a failed attempt at `target`. Unlike slowness, failure needs no
  /// comparison: when most peers fail, their median tells nothing.
  auto ObserveFailure(TargetIndex target, std::span<const TargetIndex> peers,
                      TimePoint now) -> void;

  /// Weight of a target, 0 to 1; less for a slow one.
  [[nodiscard]] auto Weight(TargetIndex target, TimePoint now) const -> double;

  /// True if the target receives probes only.
  [[nodiscard]] auto OnProbation(TargetIndex target) const -> bool;

  /// True if the weight is below the limit of probation. More targets may be
  /// so than may be on probation.
  [[nodiscard]] auto IsWeak(TargetIndex target) const -> bool;

  /// True at most once per probe interval for a weak target or one on
  /// probation.
  [[nodiscard]] auto TakeProbe(TargetIndex target, TimePoint now) -> bool;

  /// Restores weights little by little of targets without observations, such
  /// as those of services whose calls cannot be copied as probes. Call about
  /// every 50 ms.
  auto Tick(TimePoint now) -> void;

  /// Takes a peer instance's weight. It counts, while fresh, for a target of
  /// which this instance has no recent observation of its own.
  auto OnPeerWeight(const StragglerWeight& weight, TimePoint now) -> void;

  /// Own weights below one, to be shared with the peers.
  [[nodiscard]] auto Weights() const -> std::vector<StragglerWeight>;

  /// Forgets what is known of a target that restarted.
  auto Reset(TargetIndex target) -> void;

 private:
  struct State {
    double log_ratio_ = 0;  ///< Weighted mean of log2(ratio).
    double weight_ = 1;
    double peer_weight_ = 1;
    TimePoint peer_weight_at_;
    TimePoint observed_at_;
    TimePoint probed_at_;
    bool probation_ = false;
  };
  auto UpdateProbation(State& state, std::span<const TargetIndex> peers,
                       TimePoint now) -> void;
  auto At(TargetIndex target) -> State&;
  auto MedianLogRatio(std::span<const TargetIndex> peers) -> double;
  auto MayEnterProbation(std::span<const TargetIndex> peers) -> bool;

  StragglerSettings settings_;
  std::deque<State> states_;
  std::vector<double> scratch_;
};

}  // namespace baobab
