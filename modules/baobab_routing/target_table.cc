#include "baobab_routing/target_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab {

TargetTable::TargetTable(TargetTableSettings settings)
    : settings_(std::move(settings)) {}

auto TargetTable::AddTarget(const TargetInfo& info) -> TargetIndex {
  const auto [found, added] = target_numbers_.try_emplace(
      info.id_, static_cast<TargetIndex>(targets_.size()));
  if (added) {
    targets_.emplace_back();
    targets_.back().life_cycle_.start();
  }
  auto& target = targets_[found->second];
  target.info_ = info;
  target.info_.slots_ = std::max<std::uint32_t>(info.slots_, 1);
  if (target.life_cycle_.state() == TargetState::kGone) {
    target.life_cycle_.process_event(target_event::Restarted{});
  }
  return found->second;
}

auto TargetTable::FindTarget(const TargetId& id) const
    -> std::optional<TargetIndex> {
  const auto found = target_numbers_.find(id);
  return found == target_numbers_.end() ? std::nullopt
                                        : std::optional(found->second);
}

auto TargetTable::FindModel(const ModelId& id) const
    -> std::optional<ModelIndex> {
  const auto found = model_numbers_.find(id);
  return found == model_numbers_.end() ? std::nullopt
                                       : std::optional(found->second);
}

auto TargetTable::InternModel(const ModelId& id) -> ModelIndex {
  const auto [found, added] =
      model_numbers_.try_emplace(id, static_cast<ModelIndex>(models_.size()));
  if (added) {
    models_.emplace_back();
    models_.back().id_ = id;
  }
  return found->second;
}

auto TargetTable::SetModels(TargetIndex target, std::span<const ModelId> models)
    -> void {
  std::vector<ModelIndex> held;
  for (const auto& model : models) {
    held.push_back(InternModel(model));
  }
  std::sort(held.begin(), held.end());
  held.erase(std::unique(held.begin(), held.end()), held.end());
  auto& previous = targets_[target].models_;
  std::vector<ModelIndex> changed;
  std::set_symmetric_difference(previous.begin(), previous.end(), held.begin(),
                                held.end(), std::back_inserter(changed));
  for (const auto number : changed) {
    auto& model = models_[number];
    if (std::binary_search(held.begin(), held.end(), number)) {
      model.holders_.push_back(target);
    } else {
      std::erase(model.holders_, target);
    }
    RebuildSubset(model);
  }
  previous = std::move(held);
}

auto TargetTable::RebuildSubset(Model& model) -> void {
  model.subset_ = model.holders_;
  if (model.subset_.size() <= settings_.subset_) {
    return;
  }
  const auto seed = HashKey(settings_.instance_, HashKey(model.id_.value()));
  const auto weight = [&](TargetIndex target) {
    return HashKey(targets_[target].info_.id_.value(), seed);
  };
  std::nth_element(
      model.subset_.begin(),
      model.subset_.begin() + static_cast<std::ptrdiff_t>(settings_.subset_),
      model.subset_.end(),
      [&](TargetIndex a, TargetIndex b) { return weight(a) > weight(b); });
  model.subset_.resize(settings_.subset_);
}

auto TargetTable::OnReport(TargetIndex target, const LoadReport& report,
                           TimePoint now) -> void {
  auto& load = targets_[target].load_;
  const double total = static_cast<double>(report.running_) + report.waiting_;
  load.others_count_ = std::max(0.0, total - load.own_count_);
  load.reported_at_ = now;
  load.has_report_ = true;
}

}  // namespace baobab
