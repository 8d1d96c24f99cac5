#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_base/work_kind.h"
#include "baobab_routing/hedge_policy.h"
#include "baobab_routing/length_predictor.h"
#include "baobab_routing/prefix_index.h"
#include "baobab_routing/retry_budget.h"
#include "baobab_routing/straggler_detector.h"
#include "baobab_routing/target_table.h"

namespace baobab {

/// One try of a request at one target; unique within a process.
using RouteAttemptId = std::uint64_t;

/// A request for which a target is wanted.
struct RouteRequest {
  ModelId model_{};  ///< Model, or name of the plain service.
  WorkKind kind_ = WorkKind::kShort;
  bool idempotent_ = true;
  std::uint32_t prompt_tokens_ = 0;     ///< Zero if not known.
  std::vector<PrefixHash> prefixes_{};  ///< From HashPrefixes; may be empty.
};

/// Why no target was chosen.
enum class RouteRefusal : std::uint8_t {
  kNone,
  kUnknownModel,   ///< No target ever held the model.
  kNoTarget,       ///< All holders are down, draining, gone or tried.
  kLongSlotsFull,  ///< Long work has its part of every holder; wait.
  kNoBudget,       ///< The budget of retries or hedges is spent.
  kNotAllowed,     ///< The attempt is not idempotent or has begun to answer.
};

/// Choice of a target.
struct RouteDecision {
  std::optional<TargetIndex> target_ = std::nullopt;
  RouteRefusal refusal_ = RouteRefusal::kNone;
  /// A target on probation that should get a copy of this request. Start it
  /// with AttemptRole::kProbe; the answer that comes first is used.
  std::optional<TargetIndex> probe_ = std::nullopt;
  /// Call SelectHedge if no first token came this long after now; zero if the
  /// request must not be hedged. SelectHedge without a target may set it too.
  Duration hedge_after_{};
  std::size_t prefix_blocks_ = 0;  ///< Blocks probably cached at the target.
};

/// Why an attempt was made.
enum class AttemptRole : std::uint8_t { kFirst, kRetry, kHedge, kProbe };

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  kCompleted,
  kCancelled,  ///< By us: the other attempt won, or the caller left.
  kRejected,   ///< By the target, which is busy.
  kFailed,     ///< Connection or server error.
};

/// Settings of a TargetSelector.
struct TargetSelectorSettings {
  TargetTableSettings table_;
  StragglerSettings stragglers_;
  PrefixIndexSettings prefixes_;
  Duration report_interval_ = std::chrono::milliseconds(500);
  double long_part_ = 0.5;        ///< Part of the slots that long work may use.
  double affinity_credit_ = 1;    ///< Times the predicted prefill saved.
  double affinity_bound_ = 1.25;  ///< Times the mean load of the holders.
  double hedge_fraction_ = 0.04;  ///< With bursts within 5% of the requests.
  double retry_fraction_ = 0.10;
  double retry_burst_ = 10;
};

/// Chooses a target for each request: power of two choices over predicted
/// work, straggler weight and prefix affinity.
class TargetSelector {
 public:
  explicit TargetSelector(TargetSelectorSettings settings);

  /// Chooses a target for the first attempt of a request.
  auto Select(const RouteRequest& request, TimePoint now, Random& random)
      -> RouteDecision;

  /// Chooses a target other than `tried` within the retry budget. Only for a
  /// request whose attempt certainly did not run.
  auto SelectRetry(const RouteRequest& request,
                   std::span<const TargetIndex> tried, TimePoint now,
                   Random& random) -> RouteDecision;

  /// Chooses a second target for `attempt` within the hedge budget, if it is
  /// idempotent and has not begun to answer.
  auto SelectHedge(RouteAttemptId attempt, TimePoint now, Random& random)
      -> RouteDecision;

  /// Records that `attempt` is sent to `target`.
  auto OnStart(RouteAttemptId attempt, TargetIndex target, AttemptRole role,
               const RouteRequest& request, TimePoint now) -> void;

  /// Records the first token, or the head of an answer without tokens.
  auto OnFirstToken(RouteAttemptId attempt, TimePoint now) -> void;

  /// Records that `tokens` tokens have arrived so far.
  auto OnProgress(RouteAttemptId attempt, std::uint32_t tokens, TimePoint now)
      -> void;

  /// Records the end of an attempt; `tokens` is the length of a completed
  /// answer (1 for an answer without tokens).
  auto OnFinish(RouteAttemptId attempt, AttemptEnd end, std::uint32_t tokens,
                TimePoint now) -> void;

  /// Counts attempts that are overdue against their targets. Call about every
  /// 50 ms: a stuck target yields no other observation.
  auto Tick(TimePoint now) -> void;

  /// Takes a load report; it also proves that the target is reachable.
  auto OnReport(TargetIndex target, const LoadReport& report, TimePoint now)
      -> void;

  /// Takes an event of the target's prefix cache.
  auto OnCacheEvent(TargetIndex target, const CacheEvent& event, TimePoint now)
      -> void;

  /// Stops new work to a target that leaves.
  auto OnDraining(TargetIndex target) -> void;

  /// Stops new work to a target that does not answer.
  auto OnUnreachable(TargetIndex target) -> void;

  /// The target answered a probe.
  auto OnReachable(TargetIndex target) -> void;

  /// The target reports a new incarnation: its caches and streams are gone.
  auto OnRestarted(TargetIndex target, TimePoint now) -> void;

  /// The instance list says that the target ended.
  auto OnRemoved(TargetIndex target) -> void;

  /// Sets this instance's share of the long slots of each server: one of
  /// `instances`, at `position` of their common order (0-based).
  auto SetLongShare(std::uint32_t instances, std::uint32_t position) -> void;

  /// Straggler weights to be shared in heartbeats, and those of peers.
  [[nodiscard]] auto stragglers() -> StragglerDetector& { return stragglers_; }

  /// Targets and models.
  [[nodiscard]] auto table() -> TargetTable& { return table_; }
  [[nodiscard]] auto table() const -> const TargetTable& { return table_; }

  /// Predictions of lengths and times.
  [[nodiscard]] auto predictor() const -> const LengthPredictor& {
    return predictor_;
  }

  /// Number of attempts in progress.
  [[nodiscard]] auto attempt_count() const -> std::size_t {
    return attempts_.size();
  }

 private:
  struct Attempt {
    TargetIndex target_ = 0;
    ModelIndex model_ = 0;
    WorkKind kind_ = WorkKind::kShort;
    AttemptRole role_ = AttemptRole::kFirst;
    bool idempotent_ = false;
    bool hedged_ = false;
    bool answering_ = false;
    std::uint32_t tokens_ = 0;
    double uncached_tokens_ = 0;  ///< Prompt tokens to be computed, about.
    LengthPrediction predicted_;
    double work_ = 0;                  ///< Part of the target's own_work_.
    double usual_gap_seconds_ = 0;     ///< Between data; 0 if not known.
    double next_overdue_seconds_ = 0;  ///< Since the last data.
    TimePoint started_;
    TimePoint first_token_;
    TimePoint last_progress_;
  };
  struct Candidates {
    std::vector<TargetIndex> eligible_;
    double mean_load_ = 0;    ///< Slot-seconds per slot.
    double mean_others_ = 0;  ///< Requests per slot.
    bool long_full_ = false;
  };

  auto Choose(const RouteRequest& request, std::span<const TargetIndex> tried,
              TimePoint now, Random& random) -> RouteDecision;
  auto ChooseAmong(const RouteRequest& request, ModelIndex model, TimePoint now,
                   Random& random) -> RouteDecision;
  auto Collect(const RouteRequest& request, ModelIndex model,
               std::span<const TargetIndex> tried) -> void;
  auto ConsiderPrefixHolders(const RouteRequest& request,
                             const LengthPrediction& predicted, TimePoint now,
                             double& best_cost, RouteDecision& decision)
      -> void;
  [[nodiscard]] auto PreferredHolder(PrefixHash prefix) const -> TargetIndex;
  [[nodiscard]] auto WithinAffinityBound(TargetIndex target, double work,
                                         TimePoint now) const -> bool;
  auto FindProbe(const RouteRequest& request, TimePoint now)
      -> std::optional<TargetIndex>;
  [[nodiscard]] auto TakesLongWork(TargetIndex target, bool has_quota) const
      -> bool;
  [[nodiscard]] auto LongQuota(TargetIndex target) const -> std::uint32_t;
  [[nodiscard]] auto LoadOf(TargetIndex target, TimePoint now) const -> double;
  [[nodiscard]] auto CostOf(TargetIndex target, double request_seconds,
                            TimePoint now) const -> double;
  auto Observe(const Attempt& attempt, double ratio, TimePoint now) -> void;
  auto ReduceWork(Attempt& attempt, double work) -> void;

  TargetSelectorSettings settings_;
  TargetTable table_;
  LengthPredictor predictor_;
  StragglerDetector stragglers_;
  PrefixIndex prefixes_;
  HedgePolicy hedges_;
  RetryBudget retries_;
  std::uint32_t instances_ = 1;
  std::uint32_t position_ = 0;
  boost::unordered_flat_map<RouteAttemptId, Attempt> attempts_;
  Candidates candidates_;
};

}  // namespace baobab
