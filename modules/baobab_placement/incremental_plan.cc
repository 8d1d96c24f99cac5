#include <algorithm>
#include <limits>
#include <utility>

#include "baobab_placement/placement_planner.h"

namespace baobab::placement {
namespace {

// Models that are tried in vain in one plan before it ends.
constexpr std::size_t kMostFailures = 8;

}  // namespace

auto PlacementPlanner::RestoreMissing(std::size_t max_loads, TimePoint now,
                                      std::vector<PlanStep>* steps)
    -> std::size_t {
  std::vector<Index> missing;
  for (Index model = 0; model < models_.size(); ++model) {
    if (models_[model].spec_.named_ && ServingCopies(models_[model]) == 0) {
      missing.push_back(model);
    }
  }
  const auto value = [this](Index model) {
    return models_[model].spec_.weight_ * models_[model].spec_.demand_;
  };
  std::stable_sort(missing.begin(), missing.end(),
                   [&](Index a, Index b) { return value(a) > value(b); });
  std::size_t loads = 0;
  for (const auto model : missing) {
    if (loads == max_loads) {
      break;
    }
    const auto choice = ChooseServer(model, models_[model].spec_.demand_, now);
    if (choice.gain_ > -std::numeric_limits<double>::infinity()) {
      TakeStep(model, choice, now, steps);
      ++loads;
    }
  }
  return loads;
}

auto PlacementPlanner::RelieveOverload(std::size_t max_loads, TimePoint now,
                                       std::vector<PlanStep>* steps) -> void {
  std::vector<std::pair<double, Index>> wanting;
  for (Index index = 0; index < models_.size(); ++index) {
    const auto& model = models_[index];
    const auto excess = Excess(model);
    const auto loading = std::count_if(
        model.holders_.begin(), model.holders_.end(), [](const Holder& holder) {
          return holder.phase_ == CopyPhase::kLoading;
        });
    if (excess > 0.01 && model.spec_.named_ &&
        loading < 2 + static_cast<std::ptrdiff_t>(model.holders_.size() / 4) &&
        !Resting(model.unloaded_at_, now)) {
      wanting.emplace_back(model.spec_.weight_ * excess, index);
    }
  }
  std::sort(wanting.rbegin(), wanting.rend());
  std::size_t loads = 0;
  std::size_t failures = 0;
  for (const auto& [excess, model] : wanting) {
    if (loads == max_loads || failures == kMostFailures) {
      break;
    }
    const auto choice = ChooseServer(model, Excess(models_[model]), now);
    if (PaysOff(model, choice)) {
      TakeStep(model, choice, now, steps);
      ++loads;
    } else {
      ++failures;
    }
  }
}

auto PlacementPlanner::RemoveUnnamed(TimePoint now,
                                     std::vector<PlanStep>* steps) -> void {
  for (Index model = 0; model < models_.size(); ++model) {
    if (models_[model].spec_.named_) {
      continue;
    }
    for (const auto& holder : models_[model].holders_) {
      if (holder.phase_ == CopyPhase::kResident) {
        Unload(holder.server_, model, now, steps);
      }
    }
  }
}

auto PlacementPlanner::IncrementalPlan(std::size_t max_loads, TimePoint now)
    -> std::vector<PlanStep> {
  std::vector<PlanStep> steps;
  ShareOutAll();
  SortByHeadroom();
  RemoveUnnamed(now, &steps);
  const auto loads = RestoreMissing(max_loads, now, &steps);
  RelieveOverload(max_loads - loads, now, &steps);
  return steps;
}

}  // namespace baobab::placement
