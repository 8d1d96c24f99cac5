#include "baobab_placement/fit_report.h"

#include <algorithm>
#include <utility>

namespace baobab::placement {

auto FitReport::ToText() const -> std::string {
  if (fits()) {
    return "fits";
  }
  std::string text;
  for (const auto& model : too_large_) {
    text += "model " + model.model_.value() + " needs " +
            std::to_string(model.memory_mb_) +
            " MB, more than any server has for models\n";
  }
  for (const auto& model : unplaced_) {
    text += "model " + model.model_.value() + " needs " +
            std::to_string(model.memory_mb_) +
            " MB and finds no room beside the other models\n";
  }
  return text + "all models need " + std::to_string(needed_mb_) +
         " MB; the servers have " + std::to_string(available_mb_) + " MB\n";
}

auto CheckFit(std::vector<ModelNeed> models, std::vector<ModelRoom> servers)
    -> FitReport {
  FitReport report;
  std::int64_t largest = 0;
  for (const auto& server : servers) {
    report.available_mb_ += server.memory_mb_;
    largest = std::max(largest, server.memory_mb_);
  }
  std::stable_sort(
      models.begin(), models.end(),
      [](const auto& a, const auto& b) { return a.memory_mb_ > b.memory_mb_; });
  for (auto& model : models) {
    report.needed_mb_ += model.memory_mb_;
    if (model.memory_mb_ > largest) {
      report.too_large_.push_back(std::move(model));
      continue;
    }
    ModelRoom* best = nullptr;
    for (auto& server : servers) {
      if (server.memory_mb_ >= model.memory_mb_ &&
          (best == nullptr || server.memory_mb_ < best->memory_mb_)) {
        best = &server;
      }
    }
    if (best == nullptr) {
      report.unplaced_.push_back(std::move(model));
    } else {
      best->memory_mb_ -= model.memory_mb_;
    }
  }
  return report;
}

}  // namespace baobab::placement
