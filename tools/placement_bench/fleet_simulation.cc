#include "tools/placement_bench/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace baobab::placement::bench {
namespace {

constexpr double kDeadlineSeconds = 2;
constexpr double kUnloadSeconds = 0.2;

using Phase = SimulatedCopy::Phase;

}  // namespace

FleetSimulation::FleetSimulation(const FleetShape& shape,
                                 std::vector<std::int64_t> memory_mb)
    : shape_(shape),
      memory_mb_(std::move(memory_mb)),
      servers_(shape.servers_),
      holders_(shape.models_),
      loading_of_(shape.models_),
      waiting_(shape.models_),
      steps_per_deadline_(static_cast<std::size_t>(
          std::ceil(kDeadlineSeconds / shape.step_seconds_))) {}

auto FleetSimulation::Holds(std::size_t server, std::size_t model) const
    -> bool {
  const auto& copies = servers_[server].copies_;
  return std::any_of(copies.begin(), copies.end(),
                     [&](const auto& copy) { return copy.model_ == model; });
}

auto FleetSimulation::Preload(std::size_t server, std::size_t model) -> bool {
  if (FreeMb(server) < memory_mb_[model] || Holds(server, model)) {
    return false;
  }
  servers_[server].copies_.push_back({model, Phase::kReady, 0, 0});
  servers_[server].used_mb_ += memory_mb_[model];
  holders_[model].push_back(server);
  return true;
}

auto FleetSimulation::Begin(const Move& move, double delay) -> void {
  auto& server = servers_[move.server_];
  if (!server.live_) {
    return;
  }
  if (move.load_) {
    const bool waits = std::any_of(
        waiting_loads_.begin(), waiting_loads_.end(), [&](const auto& load) {
          return load.move_.server_ == move.server_ &&
                 load.move_.model_ == move.model_;
        });
    if (!Holds(move.server_, move.model_) && !waits) {
      server.promised_mb_ += memory_mb_[move.model_];
      ++loading_of_[move.model_];
      waiting_loads_.push_back({move, now_ + delay});
    }
    return;
  }
  for (auto& copy : server.copies_) {
    if (copy.model_ == move.model_ && copy.phase_ == Phase::kReady) {
      copy.phase_ = Phase::kUnloading;
      copy.ends_at_ = now_ + delay + kUnloadSeconds;
      std::erase(holders_[move.model_], move.server_);
    }
  }
}

auto FleetSimulation::StartLoads() -> void {
  const auto full_speed = static_cast<double>(shape_.full_speed_loads_);
  std::deque<WaitingLoad> still;
  for (const auto& load : waiting_loads_) {
    auto& server = servers_[load.move_.server_];
    const auto memory = memory_mb_[load.move_.model_];
    if (now_ < load.from_ || server.used_mb_ + memory > shape_.memory_mb_) {
      still.push_back(load);
      continue;
    }
    ++loading_;
    ++moves_;
    const auto factor =
        std::max(1.0, static_cast<double>(loading_) / full_speed);
    server.used_mb_ += memory;
    server.promised_mb_ -= memory;
    server.copies_.push_back(
        {load.move_.model_, Phase::kLoading,
         now_ + factor * full_speed / shape_.loads_per_second_, now_});
  }
  waiting_loads_ = std::move(still);
}

auto FleetSimulation::EndMoves() -> void {
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    auto& server = servers_[index];
    for (auto copy = server.copies_.begin(); copy != server.copies_.end();) {
      if (copy->phase_ == Phase::kLoading && now_ >= copy->ends_at_) {
        copy->phase_ = Phase::kReady;
        copy->last_used_ = now_;
        holders_[copy->model_].push_back(index);
        --loading_of_[copy->model_];
        --loading_;
      }
      if (copy->phase_ == Phase::kUnloading && now_ >= copy->ends_at_) {
        server.used_mb_ -= memory_mb_[copy->model_];
        copy = server.copies_.erase(copy);
      } else {
        ++copy;
      }
    }
  }
}

auto FleetSimulation::SetLive(std::size_t server, bool live) -> void {
  auto& lost = servers_[server];
  for (const auto& copy : lost.copies_) {
    std::erase(holders_[copy.model_], server);
    if (copy.phase_ == Phase::kLoading) {
      --loading_;
      --loading_of_[copy.model_];
    }
  }
  std::erase_if(waiting_loads_, [&](const auto& load) {
    const bool here = load.move_.server_ == server;
    loading_of_[load.move_.model_] -= here ? 1 : 0;
    return here;
  });
  lost = Server{};
  lost.live_ = live;
}

auto FleetSimulation::Serve(std::size_t model, std::size_t age) -> void {
  auto& work = waiting_[model][age];
  // The second round offers what did not fit to servers that are still free.
  for (int round = 0; round < 2 && work > 1e-9; ++round) {
    double room = 0;
    for (const auto server : holders_[model]) {
      room += servers_[server].free_;
    }
    if (room <= 0) {
      return;
    }
    const auto part = std::min(1.0, work / room);
    for (const auto server : holders_[model]) {
      const auto taken = servers_[server].free_ * part;
      servers_[server].free_ -= taken;
      work -= taken;
      served_ += taken;
    }
  }
}

auto FleetSimulation::Step(const std::vector<std::size_t>& arrivals) -> void {
  now_ += shape_.step_seconds_;
  EndMoves();
  StartLoads();
  for (auto& server : servers_) {
    server.free_ =
        server.live_ ? shape_.accelerators_ * shape_.step_seconds_ : 0;
  }
  for (std::size_t model = 0; model < arrivals.size(); ++model) {
    const auto work =
        static_cast<double>(arrivals[model]) * shape_.work_per_request_;
    arrived_ += work;
    waiting_[model].push_back(work);
    if (waiting_[model].size() > steps_per_deadline_) {
      waiting_[model].pop_front();  // Missed.
    }
    if (arrivals[model] == 0) {
      continue;
    }
    for (const auto server : holders_[model]) {
      for (auto& copy : servers_[server].copies_) {
        copy.last_used_ = copy.model_ == model ? now_ : copy.last_used_;
      }
    }
  }
  for (std::size_t age = 0; age < steps_per_deadline_; ++age) {
    for (std::size_t model = 0; model < arrivals.size(); ++model) {
      if (age < waiting_[model].size()) {
        Serve(model, age);
      }
    }
  }
}

auto FleetSimulation::Waiting(std::size_t model) const -> double {
  return std::accumulate(waiting_[model].begin(), waiting_[model].end(), 0.0);
}

auto FleetSimulation::Overdue(std::size_t model) const -> double {
  const auto& work = waiting_[model];
  const auto fresh =
      std::min(work.size(), std::max<std::size_t>(1, steps_per_deadline_ / 2));
  return std::accumulate(
      work.begin(), work.end() - static_cast<std::ptrdiff_t>(fresh), 0.0,
      [](double sum, double part) { return sum + (part > 1e-6 ? part : 0); });
}

auto FleetSimulation::ResetCounts() -> void {
  counted_from_ = now_;
  arrived_ = 0;
  served_ = 0;
  moves_ = 0;
}

auto FleetSimulation::Attainment() const -> double {
  return arrived_ > 0 ? std::min(1.0, served_ / arrived_) : 1;
}

auto FleetSimulation::ServedPerSecond() const -> double {
  return served_ / (now_ - counted_from_);
}

auto FleetSimulation::MovesPerHour() const -> double {
  return static_cast<double>(moves_) * 3600 / (now_ - counted_from_);
}

}  // namespace baobab::placement::bench
