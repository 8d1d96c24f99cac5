#include <algorithm>
#include <numeric>
#include <queue>
#include <utility>

#include "baobab_placement/placement_planner.h"

namespace baobab::placement {
namespace {

// Part of a server's compute that one copy may expect to use beside others.
constexpr double kPartPerCopy = 0.5;
// Value of a second copy for surviving the loss of a domain, and of further
// copies as reserve for a swing, as parts of the demand of the model.
constexpr double kSecondCopy = 0.05;
constexpr double kReserve = 0.01;

}  // namespace

auto PlacementPlanner::MarginalGain(const Model& model, Index replicas,
                                    double per_copy) const -> double {
  const auto demand = model.spec_.demand_;
  const auto served = [&](Index count) {
    return std::min(demand, count * per_copy);
  };
  const auto spread = replicas == 1 ? kSecondCopy * demand + 1e-6 : 0.0;
  const auto reserve = kReserve * demand / (replicas * replicas);
  return model.spec_.weight_ *
         (served(replicas + 1) - served(replicas) + spread + reserve) /
         static_cast<double>(model.spec_.memory_mb_);
}

auto PlacementPlanner::ReplicaCounts() const -> std::vector<Index> {
  double memory = 0;
  double compute = 0;
  Index live = 0;
  for (const auto& server : servers_) {
    if (server.spec_.live_) {
      memory += static_cast<double>(server.spec_.capacity_mb_);
      compute += server.spec_.compute_;
      ++live;
    }
  }
  std::vector<Index> replicas(models_.size());
  memory *= settings_.memory_use_;
  const auto per_copy =
      live > 0 ? kPartPerCopy * settings_.utilization_ * compute / live : 0;
  std::priority_queue<std::pair<double, Index>> gains;
  for (Index model = 0; model < models_.size(); ++model) {
    if (models_[model].spec_.named_) {
      replicas[model] = 1;
      memory -= static_cast<double>(models_[model].spec_.memory_mb_);
      gains.emplace(MarginalGain(models_[model], 1, per_copy), model);
    }
  }
  while (!gains.empty() && memory > 0) {
    const auto model = gains.top().second;
    gains.pop();
    const auto size = static_cast<double>(models_[model].spec_.memory_mb_);
    if (size > memory || replicas[model] >= live) {
      continue;
    }
    memory -= size;
    ++replicas[model];
    gains.emplace(MarginalGain(models_[model], replicas[model], per_copy),
                  model);
  }
  return replicas;
}

// State of a packing. Flags are kept per model and server, since a scan of the
// holders for each candidate took most of the time at 3,400 servers.
struct PlacementPlanner::Packing {
  static constexpr std::uint8_t kHeld = 1;
  static constexpr std::uint8_t kPlaced = 2;

  explicit Packing(const PlacementPlanner& planner)
      : used_(planner.servers_.size()),
        load_(planner.servers_.size()),
        flags_(planner.servers_.size() * planner.models_.size()),
        in_domain_(planner.domains_ * planner.models_.size()),
        places_(planner.models_.size()) {
    for (std::size_t model = 0; model < planner.models_.size(); ++model) {
      for (const auto& holder : planner.models_[model].holders_) {
        if (planner.Serves(holder)) {
          flags_[model * used_.size() + holder.server_] = kHeld;
        }
      }
    }
  }

  std::vector<std::int64_t> used_;
  std::vector<double> load_;
  std::vector<std::uint8_t> flags_;       ///< By model, then server.
  std::vector<std::uint16_t> in_domain_;  ///< Copies, by model, then domain.
  std::vector<std::vector<Index>> places_;
};

// Places one copy on the server with the fewest copies of the model in its
// domain and then the least load; present copies stay where that is as good.
auto PlacementPlanner::PackOne(Index model, double share,
                               Packing* packing) const -> void {
  const auto memory = models_[model].spec_.memory_mb_;
  const auto* flags = &packing->flags_[model * servers_.size()];
  auto* in_domain = &packing->in_domain_[model * domains_];
  auto best = std::numeric_limits<double>::infinity();
  std::optional<Index> chosen;
  for (Index index = 0; index < servers_.size(); ++index) {
    const auto& server = servers_[index];
    const auto used = packing->used_[index];
    if (!server.spec_.live_ || used + memory > server.spec_.capacity_mb_ ||
        (flags[index] & Packing::kPlaced) != 0) {
      continue;
    }
    const auto score = in_domain[server.domain_] * 10.0 - flags[index] * 5.0 +
                       (packing->load_[index] + share) / server.spec_.compute_ +
                       static_cast<double>(used) /
                           static_cast<double>(server.spec_.capacity_mb_);
    if (score < best) {
      best = score;
      chosen = index;
    }
  }
  if (chosen) {
    packing->used_[*chosen] += memory;
    packing->load_[*chosen] += share;
    packing->flags_[model * servers_.size() + *chosen] |= Packing::kPlaced;
    ++in_domain[servers_[*chosen].domain_];
    packing->places_[model].push_back(*chosen);
  }
}

// Packs first copies of all models before second ones, the largest first.
// Returns the servers of each model.
auto PlacementPlanner::Pack(const std::vector<Index>& replicas) const
    -> std::vector<std::vector<Index>> {
  Packing packing(*this);
  std::vector<Index> order(models_.size());
  std::iota(order.begin(), order.end(), Index{0});
  std::stable_sort(order.begin(), order.end(), [&](Index a, Index b) {
    return models_[a].spec_.memory_mb_ > models_[b].spec_.memory_mb_;
  });
  const auto rounds = replicas.empty()
                          ? 0
                          : *std::max_element(replicas.begin(), replicas.end());
  for (Index round = 0; round < rounds; ++round) {
    for (const auto model : order) {
      if (replicas[model] > round) {
        PackOne(model, models_[model].spec_.demand_ / replicas[model],
                &packing);
      }
    }
  }
  return std::move(packing.places_);
}

auto PlacementPlanner::FullPlan(TimePoint now) -> std::vector<PlanStep> {
  std::vector<PlanStep> steps;
  ShareOutAll();
  RemoveUnnamed(now, &steps);
  const auto places = Pack(ReplicaCounts());
  std::vector<std::pair<double, PlanStep>> loads;
  for (Index model = 0; model < models_.size(); ++model) {
    auto& present = models_[model];
    double worth = present.holders_.empty() ? 1e9 : 1;
    for (const auto server : places[model]) {
      const bool held =
          std::any_of(present.holders_.begin(), present.holders_.end(),
                      [&](const Holder& h) { return h.server_ == server; });
      if (!held) {
        loads.emplace_back(
            worth * present.spec_.weight_ * (present.spec_.demand_ + 1e-6),
            PlanStep{OrderKind::kLoad, servers_[server].spec_.target_,
                     present.spec_.key_, present.spec_.memory_mb_});
        present.loaded_at_ = now;
      }
      worth = std::min(worth, 1.0) / 2;
    }
    for (const auto& holder : std::vector<Holder>(present.holders_)) {
      if (present.spec_.named_ && holder.phase_ == CopyPhase::kResident &&
          std::find(places[model].begin(), places[model].end(),
                    holder.server_) == places[model].end() &&
          HasProvenCopyBeside(present, holder.server_)) {
        Unload(holder.server_, model, now, &steps);
      }
    }
  }
  std::stable_sort(
      loads.begin(), loads.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  for (auto& [worth, step] : loads) {
    steps.push_back(std::move(step));
  }
  return steps;
}

}  // namespace baobab::placement
