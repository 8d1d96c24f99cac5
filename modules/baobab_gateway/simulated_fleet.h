#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/simulated_batch.h"
#include "baobab_gateway/target_registry.h"

namespace baobab::gateway::test {

/// Simulates instances that dispatch requests to shared engines, for load
/// replays.
///
/// The test generates the load, advances the time and exchanges load reports
/// between the instances. This class applies the decisions of the dispatchers
/// to the simulated engines.
class SimulatedFleet {
 public:
  /// How a request ended.
  struct Outcome {
    bool rejected_ = false;  ///< Rejected before it was sent to an engine.
    bool held_ = false;      ///< Rejected after more than half of its time.
    bool completed_in_time_ = false;  ///< Response ended before the time limit.
    bool first_token_on_time_ = false;  ///< First token within the objective.
    Duration longest_event_gap_{};      ///< Longest time between stream events.
    WorkId id_ = 0;
    bool sent_ = false;  ///< To an engine.
    /// If rejected, when the caller is told to return.
    std::optional<Duration> retry_after_;
  };

  /// Creates an engine for each entry of `registry`. Calls `on_outcome` once
  /// when a request ends.
  SimulatedFleet(TargetRegistry registry, TimePoint start,
                 std::function<void(const Outcome&)> on_outcome)
      : registry_(std::move(registry)),
        now_(start),
        on_outcome_(std::move(on_outcome)) {
    for (const auto& [id, entry] : registry_.entries()) {
      engines_.emplace(
          id,
          SimulatedBatch({[this](WorkId request_id, TimePoint at) {
                            RecordFirstToken(request_id, at);
                          },
                          [this](WorkId request_id, TimePoint at) {
                            RecordEnd(request_id, at);
                          },
                          [this](WorkId request_id, Duration gap) {
                            if (const auto found = requests_.find(request_id);
                                found != requests_.end()) {
                              found->second.outcome_.longest_event_gap_ = gap;
                            }
                          },
                          [this](WorkId request_id, TimePoint at) {
                            RecordEvent(request_id, at);
                          }}));
    }
  }
  SimulatedFleet(const SimulatedFleet&) = delete;
  auto operator=(const SimulatedFleet&) -> SimulatedFleet& = delete;
  SimulatedFleet(SimulatedFleet&&) = delete;
  auto operator=(SimulatedFleet&&) -> SimulatedFleet& = delete;
  ~SimulatedFleet() = default;

  auto AddInstance(std::unique_ptr<Dispatcher> dispatcher,
                   const Manifest& manifest) -> void {
    dispatcher->SetManifest(manifest);
    dispatcher->SetTargets(registry_, now_);
    dispatchers_.push_back(std::move(dispatcher));
  }

  /// Submits a request that will produce `tokens` tokens to an instance.
  auto Submit(std::size_t instance, const WorkItem& item, std::uint32_t tokens)
      -> void {
    if (const auto rejection = dispatchers_[instance]->Submit(item, now_)) {
      on_outcome_({.rejected_ = true,
                   .id_ = item.id_,
                   .retry_after_ = rejection->retry_after_});
      return;
    }
    requests_[item.id_] = {instance, item, tokens, "", {.id_ = item.id_}};
  }

  /// Ends the requests whose callers have left: no event came within the time
  /// that `patience` returns for the request.
  template <class Patience>
  auto EndAbandonedRequests(Patience patience) -> void {
    for (auto entry = requests_.begin(); entry != requests_.end();) {
      auto& request = entry->second;
      if (request.begun_ ||
          now_ < request.item_.arrived_ + patience(entry->first)) {
        ++entry;
        continue;
      }
      End(entry);
    }
  }

  /// Ends all requests at an engine that is lost.
  auto FailTarget(const std::string& target) -> void {
    registry_.Remove(target, kRemovedRevision);
    for (auto& dispatcher : dispatchers_) {
      dispatcher->SetTargets(registry_, now_);
    }
    for (auto entry = requests_.begin(); entry != requests_.end();) {
      if (entry->second.target_ == target) {
        End(entry);
      } else {
        ++entry;
      }
    }
  }

  /// Advances the engines to `now`.
  auto Advance(TimePoint now) -> void {
    now_ = now;
    for (auto& [id, engine] : engines_) {
      engine.Advance(now_);
    }
  }

  /// Rejects infeasible requests and starts assigned ones, for all instances.
  auto Dispatch() -> void {
    for (auto& dispatcher : dispatchers_) {
      for (const auto& rejection : dispatcher->RejectInfeasible(now_)) {
        const auto& item = requests_.at(rejection.id_).item_;
        on_outcome_({.rejected_ = true,
                     .held_ = now_ - item.arrived_ > item.deadline_ - now_,
                     .id_ = rejection.id_,
                     .retry_after_ = rejection.retry_after_});
        requests_.erase(rejection.id_);
      }
      for (const auto& assignment : dispatcher->Assign(now_)) {
        auto& request = requests_.at(assignment.id_);
        request.target_ = assignment.target_;
        request.outcome_.sent_ = true;
        const auto source = engines_.find(assignment.cache_source_);
        engines_.at(assignment.target_)
            .Start(assignment.id_, request.item_.generation_, request.tokens_,
                   now_,
                   source == engines_.end() ? 0
                                            : source->second.CachedTokens(
                                                  request.item_.generation_));
      }
    }
  }

  /// Ends requests that have reached their time limit.
  auto EndExpiredRequests() -> void {
    for (auto entry = requests_.begin(); entry != requests_.end();) {
      const auto& request = entry->second;
      if (request.item_.deadline_ > now_) {
        ++entry;
        continue;
      }
      End(entry);
    }
  }

  /// Sets how many prompt tokens one step of each engine prefills at most.
  auto SetPrefillChunk(std::uint32_t tokens) -> void {
    for (auto& [id, engine] : engines_) {
      engine.SetPrefillChunk(tokens);
    }
  }

  /// Lets the steps of an engine take `factor` times as long from now on.
  auto SetTimeFactor(const std::string& target, double factor) -> void {
    engines_.at(target).SetTimeFactor(factor);
  }

  /// Returns the number of prompt tokens that all engines have prefilled.
  [[nodiscard]] auto PrefilledTokens() const -> std::uint64_t {
    std::uint64_t tokens = 0;
    for (const auto& [id, engine] : engines_) {
      tokens += engine.prefilled_tokens();
    }
    return tokens;
  }

  /// Calls `action` with the dispatcher of each instance except `own_index`.
  template <class Action>
  auto ForEachPeer(std::size_t own_index, Action action) -> void {
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) {
      if (i != own_index) {
        action(*dispatchers_[i]);
      }
    }
  }

  [[nodiscard]] auto dispatcher(std::size_t index) -> Dispatcher& {
    return *dispatchers_[index];
  }
  [[nodiscard]] auto instance_count() const -> std::size_t {
    return dispatchers_.size();
  }
  [[nodiscard]] auto now() const -> TimePoint { return now_; }

 private:
  /// Higher than the revision of every registration.
  static constexpr std::int64_t kRemovedRevision = 1'000'000;

  struct Request {
    std::size_t instance_ = 0;
    WorkItem item_;
    std::uint32_t tokens_ = 0;
    std::string target_;
    Outcome outcome_;
    bool begun_ = false;
  };

  /// Cancels a request and moves `entry` to the next one.
  auto End(std::map<WorkId, Request>::iterator& entry) -> void {
    const auto& request = entry->second;
    dispatchers_[request.instance_]->Forget(entry->first);
    if (!request.target_.empty()) {
      engines_.at(request.target_).Cancel(entry->first);
    }
    on_outcome_(request.outcome_);
    entry = requests_.erase(entry);
  }

  auto RecordFirstToken(WorkId id, TimePoint at) -> void {
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
      dispatchers_[found->second.instance_]->OnFirstToken(id, at);
      found->second.begun_ = true;
      found->second.outcome_.first_token_on_time_ =
          at <= found->second.item_.objective_at_;
    }
  }

  auto RecordEvent(WorkId id, TimePoint at) -> void {
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
      dispatchers_[found->second.instance_]->OnEvents(id, 1, at);
    }
  }

  auto RecordEnd(WorkId id, TimePoint at) -> void {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      return;
    }
    auto& request = found->second;
    dispatchers_[request.instance_]->OnServed(id, at);
    request.outcome_.completed_in_time_ = at <= request.item_.deadline_;
    on_outcome_(request.outcome_);
    requests_.erase(found);
  }

  TargetRegistry registry_;
  TimePoint now_;
  std::function<void(const Outcome&)> on_outcome_;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
  std::map<std::string, SimulatedBatch> engines_;
  std::map<WorkId, Request> requests_;
};

}  // namespace baobab::gateway::test
