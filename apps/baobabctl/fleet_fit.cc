#include "fleet_fit.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "baobab_placement/fit_report.h"
#include "baobab_placement/server_record.h"
#include "contract_output.h"

namespace baobab::ctl {
namespace {

constexpr auto kServerPrefix = "/baobab/servers/";

auto AddNeeds(const contract::Contract& contract,
              std::map<ModelId, std::int64_t>& needs) -> void {
  for (const auto& model : contract.models_) {
    auto& need = needs[model.name_];
    need = std::max(need, model.memory_mb_);
  }
}

}  // namespace

auto DescribeMisfit(StoreSession& session, const contract::Contract& contract)
    -> std::string {
  std::vector<placement::ModelRoom> rooms;
  for (const auto& stored : session.ReadPrefix(kServerPrefix)) {
    const auto record =
        placement::ServerRecord::Parse(stored.value_, stored.mod_revision_);
    rooms.push_back(
        {record.target_, record.capacity_mb_ - record.adapter_budget_mb_});
  }
  if (rooms.empty()) {
    return "";
  }
  std::map<ModelId, std::int64_t> needs;
  AddNeeds(contract, needs);
  for (const auto& record : session.ReadContracts()) {
    if (record.customer_ != contract.customer_) {
      AddNeeds(ParseOrEmpty(record), needs);
    }
  }
  std::vector<placement::ModelNeed> models;
  models.reserve(needs.size());
  for (const auto& [model, memory_mb] : needs) {
    models.push_back({model, memory_mb});
  }
  const auto report = placement::CheckFit(std::move(models), std::move(rooms));
  return report.fits() ? "" : report.ToText();
}

}  // namespace baobab::ctl
