#include "baobab_placement/placement_planner.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace baobab::placement {
namespace {

// A copy keeps a little traffic even on a full server, so that its share can
// grow again when the server empties.
constexpr double kLeastHeadroom = 0.02;

// Servers with room that are compared for one copy, those with most headroom
// first. Comparing all 3,400 took up to 70 ms for one plan.
constexpr std::size_t kMostExamined = 16;

auto SecondsOf(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto PlacementPlanner::Reset(std::vector<PlannedServer> servers,
                             std::vector<PlannedModel> models) -> void {
  std::map<FailureDomain, std::size_t> domains;
  servers_.clear();
  models_.clear();
  for (auto& server : servers) {
    const auto domain =
        domains.try_emplace(server.domain_, domains.size()).first->second;
    servers_.push_back(Server{std::move(server), domain, 0, 0, {}});
  }
  for (auto& model : models) {
    models_.push_back(Model{std::move(model), {}, {}, {}, 0});
  }
  domains_ = domains.size();
}

auto PlacementPlanner::ClearCopies() -> void {
  for (auto& server : servers_) {
    server.used_mb_ = 0;
    server.load_ = 0;
    server.contents_.clear();
  }
  for (auto& model : models_) {
    model.holders_.clear();
  }
}

auto PlacementPlanner::AddCopy(std::size_t server, std::size_t model,
                               CopyPhase phase) -> void {
  servers_[server].contents_.push_back(static_cast<Index>(model));
  servers_[server].used_mb_ += models_[model].spec_.memory_mb_;
  models_[model].holders_.push_back({static_cast<Index>(server), phase, 0});
}

auto PlacementPlanner::RemoveCopy(std::size_t server, std::size_t model)
    -> void {
  auto& holders = models_[model].holders_;
  const auto holder =
      std::find_if(holders.begin(), holders.end(),
                   [&](const Holder& h) { return h.server_ == server; });
  if (holder == holders.end()) {
    return;
  }
  servers_[server].load_ -= holder->share_;
  servers_[server].used_mb_ -= models_[model].spec_.memory_mb_;
  holders.erase(holder);
  std::erase(servers_[server].contents_, static_cast<Index>(model));
}

auto PlacementPlanner::ServingCopies(const Model& model) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(model.holders_.begin(), model.holders_.end(),
                    [this](const Holder& holder) { return Serves(holder); }));
}

auto PlacementPlanner::HasProvenCopyBeside(const Model& model,
                                           Index server) const -> bool {
  return std::any_of(model.holders_.begin(), model.holders_.end(),
                     [&](const Holder& holder) {
                       return holder.server_ != server && Serves(holder) &&
                              holder.phase_ == CopyPhase::kResident;
                     });
}

// Divides the demand of a model over its copies in proportion to the room that
// other models leave, as routing by least load does.
auto PlacementPlanner::ShareOut(Model* model) -> void {
  double room = 0;
  for (auto& holder : model->holders_) {
    auto& server = servers_[holder.server_];
    server.load_ -= holder.share_;
    holder.share_ = 0;
    if (Serves(holder)) {
      room += std::max(Headroom(server), kLeastHeadroom);
    }
  }
  for (auto& holder : model->holders_) {
    if (Serves(holder)) {
      auto& server = servers_[holder.server_];
      holder.share_ = model->spec_.demand_ *
                      std::max(Headroom(server), kLeastHeadroom) / room;
      server.load_ += holder.share_;
    }
  }
}

auto PlacementPlanner::ShareOutAll() -> void {
  // The second pass corrects shares that were set before later models came.
  for (int pass = 0; pass < 2; ++pass) {
    for (auto& model : models_) {
      ShareOut(&model);
    }
  }
}

auto PlacementPlanner::Excess(const Model& model) const -> double {
  double served = 0;
  for (const auto& holder : model.holders_) {
    const auto& server = servers_[holder.server_];
    const auto limit = server.spec_.compute_ * settings_.utilization_;
    if (Serves(holder)) {
      served +=
          holder.share_ * (server.load_ > limit ? limit / server.load_ : 1.0);
    }
  }
  return std::max(0.0, model.spec_.demand_ - served);
}

auto PlacementPlanner::SortByHeadroom() -> void {
  // Summing the room of all copies for each eviction that is considered took
  // half of the planning time; the sum may be a few steps old within a plan.
  for (auto& model : models_) {
    UpdateSpare(&model);
  }
  by_headroom_.resize(servers_.size());
  std::iota(by_headroom_.begin(), by_headroom_.end(), Index{0});
  std::stable_sort(by_headroom_.begin(), by_headroom_.end(),
                   [this](Index a, Index b) {
                     return Headroom(servers_[a]) > Headroom(servers_[b]);
                   });
}

auto PlacementPlanner::UpdateSpare(Model* model) -> void {
  model->spare_ = 0;
  for (const auto& holder : model->holders_) {
    if (Serves(holder)) {
      model->spare_ += std::max(0.0, Headroom(servers_[holder.server_]));
    }
  }
}

auto PlacementPlanner::ExpectedExcess() -> double {
  ShareOutAll();
  return std::accumulate(
      models_.begin(), models_.end(), 0.0,
      [this](double sum, const Model& model) { return sum + Excess(model); });
}

auto PlacementPlanner::LossOfRemoving(const Model& model, Index server) const
    -> double {
  const auto holder =
      std::find_if(model.holders_.begin(), model.holders_.end(),
                   [&](const Holder& h) { return h.server_ == server; });
  const auto share = holder == model.holders_.end() ? 0.0 : holder->share_;
  const auto room = model.spare_ - std::max(0.0, Headroom(servers_[server]));
  // Other models compete for the same room; a copy in reserve also has a value
  // for the next swing, which grows with the demand and falls with the copies.
  const auto reserve =
      0.02 * model.spec_.demand_ / static_cast<double>(model.holders_.size());
  return model.spec_.weight_ *
         (std::max(0.0, share - 0.5 * std::max(0.0, room)) + reserve);
}

auto PlacementPlanner::MayEvict(const Model& model, Index server,
                                TimePoint now) const -> bool {
  const auto holder =
      std::find_if(model.holders_.begin(), model.holders_.end(),
                   [&](const Holder& h) { return h.server_ == server; });
  if (holder == model.holders_.end() ||
      holder->phase_ != CopyPhase::kResident) {
    return false;
  }
  return !model.spec_.named_ || (HasProvenCopyBeside(model, server) &&
                                 !Resting(model.loaded_at_, now));
}

auto PlacementPlanner::MakeRoom(Index server, Index model, TimePoint now) const
    -> std::optional<std::vector<Index>> {
  const auto& place = servers_[server];
  auto missing = place.used_mb_ + models_[model].spec_.memory_mb_ -
                 place.spec_.capacity_mb_;
  std::vector<Index> evicted;
  if (missing <= 0) {
    return evicted;
  }
  std::vector<std::pair<double, Index>> candidates;
  for (const auto other : place.contents_) {
    if (MayEvict(models_[other], server, now)) {
      candidates.emplace_back(
          LossOfRemoving(models_[other], server) /
              static_cast<double>(models_[other].spec_.memory_mb_),
          other);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [loss, other] : candidates) {
    if (missing <= 0) {
      break;
    }
    evicted.push_back(other);
    missing -= models_[other].spec_.memory_mb_;
  }
  return missing <= 0 ? std::optional(evicted) : std::nullopt;
}

auto PlacementPlanner::DomainCounts(const Model& model) const
    -> std::vector<std::uint16_t> {
  std::vector<std::uint16_t> counts(domains_);
  for (const auto& holder : model.holders_) {
    if (Serves(holder)) {
      ++counts[servers_[holder.server_].domain_];
    }
  }
  return counts;
}

auto PlacementPlanner::ChooseServer(Index model, double wanted,
                                    TimePoint now) const -> Choice {
  const auto& wanting = models_[model];
  const auto counts = DomainCounts(wanting);
  const auto fewest =
      counts.empty() ? 0 : *std::min_element(counts.begin(), counts.end());
  std::vector<bool> held(servers_.size());
  for (const auto& holder : wanting.holders_) {
    held[holder.server_] = true;
  }
  Choice best;
  std::size_t examined = 0;
  for (const auto index : by_headroom_) {
    const auto& server = servers_[index];
    if (!server.spec_.live_ || held[index]) {
      continue;
    }
    // A copy beyond the even spread over domains is worth a tenth less.
    const auto spread = counts[server.domain_] > fewest ? 0.9 : 1.0;
    const auto room = std::max(Headroom(server), 0.0);
    const auto full = wanting.spec_.weight_ * std::min(wanted, room);
    const auto tie = 1e-6 * room;
    if (full + tie <= best.gain_ || examined == kMostExamined) {
      break;  // Servers that follow have less headroom.
    }
    auto evicted = MakeRoom(index, model, now);
    if (!evicted) {
      continue;
    }
    ++examined;
    auto gain = full * spread + tie;
    for (const auto other : *evicted) {
      gain -= LossOfRemoving(models_[other], index);
    }
    if (gain > best.gain_) {
      best = {index, gain, std::move(*evicted)};
    }
  }
  return best;
}

auto PlacementPlanner::PaysOff(Index model, const Choice& choice) const
    -> bool {
  const auto load_seconds =
      static_cast<double>(models_[model].spec_.memory_mb_) /
      settings_.load_mb_per_second_;
  double idle = 0;  // Work that evicted copies no longer serve while loading.
  for (const auto other : choice.evicted_) {
    idle += LossOfRemoving(models_[other], choice.server_);
  }
  const auto cost = load_seconds * (settings_.load_price_ + idle);
  return choice.gain_ * SecondsOf(settings_.horizon_) >=
         settings_.gain_over_cost_ * cost;
}

auto PlacementPlanner::Unload(Index server, Index model, TimePoint now,
                              std::vector<PlanStep>* steps) -> void {
  auto& removed = models_[model];
  removed.unloaded_at_ = now;
  for (auto& holder : removed.holders_) {
    if (holder.server_ == server) {
      holder.phase_ = CopyPhase::kUnloading;
    }
  }
  ShareOut(&removed);
  UpdateSpare(&removed);
  steps->push_back({OrderKind::kUnload, servers_[server].spec_.target_,
                    removed.spec_.key_, removed.spec_.memory_mb_});
}

auto PlacementPlanner::TakeStep(Index model, const Choice& choice,
                                TimePoint now, std::vector<PlanStep>* steps)
    -> void {
  for (const auto other : choice.evicted_) {
    Unload(choice.server_, other, now, steps);
    servers_[choice.server_].used_mb_ -= models_[other].spec_.memory_mb_;
  }
  auto& loaded = models_[model];
  loaded.loaded_at_ = now;
  AddCopy(choice.server_, model, CopyPhase::kLoading);
  ShareOut(&loaded);
  steps->push_back({OrderKind::kLoad, servers_[choice.server_].spec_.target_,
                    loaded.spec_.key_, loaded.spec_.memory_mb_});
}

}  // namespace baobab::placement
