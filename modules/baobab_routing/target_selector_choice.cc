// The choice of TargetSelector: eligible targets, costs, affinity and probes.
#include <algorithm>
#include <array>
#include <cmath>

#include "baobab_base/rendezvous_hash.h"
#include "baobab_routing/target_selector.h"

namespace baobab {
namespace {

// A request this many times past the hedge delay may use the whole budget.
constexpr int kUrgentRatio = 2;
constexpr double kLeastAffinityWeight = 0.5;

}  // namespace

auto TargetSelector::Select(const RouteRequest& request, TimePoint now,
                            Random& random) -> RouteDecision {
  auto decision = Choose(request, {}, now, random);
  if (!decision.target_) {
    return decision;
  }
  hedges_.OnRequest();
  retries_.OnRequest();
  if (request.idempotent_) {
    const auto model = *table_.FindModel(request.model_);
    const auto predicted =
        predictor_.Predict(model, request.kind_, request.prompt_tokens_);
    decision.hedge_after_ =
        hedges_.HedgeAfter(request.kind_, predicted.first_token_seconds_);
    decision.probe_ = FindProbe(request, now);
  }
  return decision;
}

auto TargetSelector::SelectRetry(const RouteRequest& request,
                                 std::span<const TargetIndex> tried,
                                 TimePoint now, Random& random)
    -> RouteDecision {
  auto decision = Choose(request, tried, now, random);
  if (decision.target_ && !retries_.TryTake()) {
    return {.refusal_ = RouteRefusal::kNoBudget};
  }
  return decision;
}

auto TargetSelector::SelectHedge(RouteAttemptId attempt, TimePoint now,
                                 Random& random) -> RouteDecision {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || !found->second.idempotent_ ||
      found->second.answering_ || found->second.hedged_) {
    return {.refusal_ = RouteRefusal::kNotAllowed};
  }
  auto& record = found->second;
  const RouteRequest request{.kind_ = record.kind_};
  const std::array tried{record.target_};
  Collect(request, record.model_, tried);
  auto decision = ChooseAmong(request, record.model_, now, random);
  if (!decision.target_) {
    return decision;
  }
  const auto normal =
      hedges_.HedgeAfter(record.kind_, record.predicted_.first_token_seconds_);
  const bool urgent = now - record.started_ >= kUrgentRatio * normal;
  if (!hedges_.TryTake(urgent)) {
    return {.refusal_ = RouteRefusal::kNoBudget, .hedge_after_ = normal};
  }
  record.hedged_ = true;
  return decision;
}

auto TargetSelector::Choose(const RouteRequest& request,
                            std::span<const TargetIndex> tried, TimePoint now,
                            Random& random) -> RouteDecision {
  const auto model = table_.FindModel(request.model_);
  if (!model) {
    return {.refusal_ = RouteRefusal::kUnknownModel};
  }
  Collect(request, *model, tried);
  return ChooseAmong(request, *model, now, random);
}

auto TargetSelector::Collect(const RouteRequest& request, ModelIndex model,
                             std::span<const TargetIndex> tried) -> void {
  auto& [eligible, mean_load, mean_others, long_full] = candidates_;
  eligible.clear();
  long_full = false;
  double own_work = 0;
  double others = 0;
  double up = 0;
  const auto holders = table_.Holders(model);
  const bool is_long = request.kind_ == WorkKind::kLong;
  const bool has_quota =
      is_long && std::any_of(holders.begin(), holders.end(),
                             [this](auto t) { return LongQuota(t) > 0; });
  bool only_probation = false;
  for (const auto target : holders) {
    if (table_.state(target) != TargetState::kUp) {
      continue;
    }
    const auto& load = table_.load(target);
    const double slots = table_.info(target).slots_;
    own_work += load.own_work_ / slots;
    others += load.others_count_ / slots;
    ++up;
    if (std::find(tried.begin(), tried.end(), target) != tried.end()) {
      continue;
    }
    if (is_long && !TakesLongWork(target, has_quota)) {
      long_full = true;
      continue;
    }
    const bool probation = stragglers_.OnProbation(target);
    if (eligible.empty()) {
      only_probation = probation;
    } else if (only_probation && !probation) {
      eligible.clear();
      only_probation = false;
    }
    if (!probation || only_probation) {
      eligible.push_back(target);
    }
  }
  mean_others = up > 0 ? others / up : 0;
  mean_load =
      up > 0 ? own_work / up + mean_others * predictor_.mean_seconds() : 0;
}

auto TargetSelector::ChooseAmong(const RouteRequest& request, ModelIndex model,
                                 TimePoint now, Random& random)
    -> RouteDecision {
  const auto& eligible = candidates_.eligible_;
  if (eligible.empty()) {
    return {.refusal_ = candidates_.long_full_ ? RouteRefusal::kLongSlotsFull
                                               : RouteRefusal::kNoTarget};
  }
  std::uniform_int_distribution<std::size_t> pick(0, eligible.size() - 1);
  const auto first = pick(random);
  auto second = first;
  if (eligible.size() > 1) {
    std::uniform_int_distribution<std::size_t> rest(0, eligible.size() - 2);
    second = rest(random);
    second += second >= first ? 1 : 0;
  }
  const auto predicted =
      predictor_.Predict(model, request.kind_, request.prompt_tokens_);
  const double work = predicted.seconds_ + predicted.first_token_seconds_;
  const double first_cost = CostOf(eligible[first], work, now);
  const double second_cost = CostOf(eligible[second], work, now);
  RouteDecision decision;
  decision.target_ = eligible[first_cost <= second_cost ? first : second];
  double best_cost = std::min(first_cost, second_cost);
  if (stragglers_.IsWeak(*decision.target_)) {
    // Both are slow or fail: two choices are not enough.
    for (const auto target : eligible) {
      const double cost = CostOf(target, work, now);
      if (cost < best_cost) {
        best_cost = cost;
        decision.target_ = target;
      }
    }
    // Long work can wait for a healthy target.
    if (candidates_.long_full_ && stragglers_.IsWeak(*decision.target_)) {
      return {.refusal_ = RouteRefusal::kLongSlotsFull};
    }
  }
  if (!request.prefixes_.empty()) {
    ConsiderPrefixHolders(request, predicted, now, best_cost, decision);
  }
  return decision;
}

auto TargetSelector::ConsiderPrefixHolders(const RouteRequest& request,
                                           const LengthPrediction& predicted,
                                           TimePoint now, double& best_cost,
                                           RouteDecision& decision) -> void {
  const auto& eligible = candidates_.eligible_;
  const double work = predicted.seconds_ + predicted.first_token_seconds_;
  const double tokens_per_block = static_cast<double>(request.prompt_tokens_) /
                                  static_cast<double>(request.prefixes_.size());
  const auto random_choice = decision.target_;
  bool found = false;
  for (const auto& match : prefixes_.Find(request.prefixes_, now)) {
    const auto target = match.target_;
    if (std::find(eligible.begin(), eligible.end(), target) == eligible.end()) {
      continue;
    }
    found = true;
    if (target != random_choice && !WithinAffinityBound(target, work, now)) {
      continue;
    }
    const double credit = settings_.affinity_credit_ *
                          predicted.prompt_token_seconds_ * tokens_per_block *
                          static_cast<double>(match.blocks_);
    const double cost = CostOf(target, work, now) - credit;
    if (cost <= best_cost || target == decision.target_) {
      best_cost = cost;
      decision.target_ = target;
      decision.prefix_blocks_ = match.blocks_;
    }
  }
  // Instances that see a prefix first at the same time agree on one holder.
  const auto preferred = PreferredHolder(request.prefixes_.front());
  if (!found && WithinAffinityBound(preferred, work, now)) {
    decision.target_ = preferred;
  }
}

auto TargetSelector::PreferredHolder(PrefixHash prefix) const -> TargetIndex {
  const auto weight = [&](TargetIndex target) {
    return HashKey(table_.info(target).id_.value(), prefix);
  };
  return *std::max_element(
      candidates_.eligible_.begin(), candidates_.eligible_.end(),
      [&](TargetIndex a, TargetIndex b) { return weight(a) < weight(b); });
}

auto TargetSelector::WithinAffinityBound(TargetIndex target, double work,
                                         TimePoint now) const -> bool {
  // As in consistent hashing with bounded loads, the mean counts the new
  // request, so that a target may always take one.
  // A slow or failing target looks idle, so that its load alone admits it.
  if (stragglers_.Weight(target, now) < kLeastAffinityWeight) {
    return false;
  }
  const double slots = table_.info(target).slots_;
  return LoadOf(target, now) <=
         settings_.affinity_bound_ * (candidates_.mean_load_ + work / slots);
}

auto TargetSelector::LoadOf(TargetIndex target, TimePoint now) const -> double {
  const auto& load = table_.load(target);
  const double slots = table_.info(target).slots_;
  // An old report tells nothing about this target, so its estimate moves
  // towards the mean of all holders, not towards idle.
  double others = candidates_.mean_others_;
  if (load.has_report_) {
    const double age =
        std::chrono::duration<double>(now - load.reported_at_).count() /
        std::chrono::duration<double>(settings_.report_interval_).count();
    const double weight = std::exp2(-std::max(0.0, age));
    others = weight * load.others_count_ / slots + (1 - weight) * others;
  }
  return load.own_work_ / slots + others * predictor_.mean_seconds();
}

auto TargetSelector::CostOf(TargetIndex target, double request_seconds,
                            TimePoint now) const -> double {
  // The request's own work is part of the cost: without it an idle straggler
  // would cost nothing.
  return (LoadOf(target, now) + request_seconds) /
         stragglers_.Weight(target, now);
}

auto TargetSelector::LongQuota(TargetIndex target) const -> std::uint32_t {
  const auto total = static_cast<std::uint32_t>(settings_.long_part_ *
                                                table_.info(target).slots_);
  // Instances number targets differently, so the rotation that spreads the
  // remainder comes from the name.
  const auto turn = HashKey(table_.info(target).id_.value()) + position_;
  const bool extra = turn % instances_ < total % instances_;
  return total / instances_ + (extra ? 1 : 0);
}

auto TargetSelector::TakesLongWork(TargetIndex target, bool has_quota) const
    -> bool {
  const auto& load = table_.load(target);
  if (has_quota) {
    return load.own_long_ < LongQuota(target);
  }
  // More instances than long slots: use slots that the report shows free.
  return load.own_count_ + load.others_count_ <
         settings_.long_part_ * table_.info(target).slots_;
}

auto TargetSelector::FindProbe(const RouteRequest& request, TimePoint now)
    -> std::optional<TargetIndex> {
  if (request.kind_ == WorkKind::kLong || request.kind_ == WorkKind::kBooking) {
    return std::nullopt;
  }
  const auto model = *table_.FindModel(request.model_);
  for (const auto target : table_.Holders(model)) {
    if (table_.state(target) == TargetState::kUp &&
        stragglers_.TakeProbe(target, now) && hedges_.TryTake(true)) {
      return target;
    }
  }
  return std::nullopt;
}

}  // namespace baobab
