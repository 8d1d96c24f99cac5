// The attempts of a Simulation, its run and its results.

#include <algorithm>
#include <utility>

#include "simulation.h"

namespace baobab::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kOneWay = milliseconds(1);
constexpr auto kTick = milliseconds(50);
constexpr auto kLongRetry = milliseconds(20);
constexpr std::size_t kBaselineTries = 3;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto Simulation::Start(std::uint64_t number, TargetIndex target,
                       AttemptRole role) -> RouteAttemptId {
  auto& request = requests_[number];
  const auto attempt = next_attempt_++;
  attempts_[attempt] = {number, target};
  request.attempts_.push_back(attempt);
  request.tried_.push_back(target);
  instances_[request.instance_].selector_->OnStart(
      attempt, target, role, request.item_.route_, network_.now());
  Job job{attempt, request.item_.route_.kind_, request.item_.prompt_tokens_,
          request.item_.response_tokens_, request.item_.route_.prefixes_};
  network_.After(kOneWay, [this, target, job](TimePoint) {
    servers_[target]->Submit(job);
  });
  return attempt;
}

auto Simulation::Hedge(RouteAttemptId attempt) -> void {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const auto number = found->second.request_;
  auto& request = requests_[number];
  const auto decision = instances_[request.instance_].selector_->SelectHedge(
      attempt, network_.now(), random_);
  if (decision.target_) {
    result_.hedges_ += Counted(request) ? 1 : 0;
    Start(number, *decision.target_, AttemptRole::kHedge);
  } else if (decision.hedge_after_ > Duration::zero()) {
    network_.After(decision.hedge_after_,
                   [this, attempt](TimePoint) { Hedge(attempt); });
  }
}

auto Simulation::Retry(std::uint64_t number) -> void {
  auto& request = requests_[number];
  auto& instance = instances_[request.instance_];
  if (!IsSelector()) {
    if (request.tried_.size() >= kBaselineTries) {
      return Finish(request, false);
    }
    result_.retries_ += Counted(request) ? 1 : 0;
    Start(number, Baseline(instance, request.item_), AttemptRole::kRetry);
    return;
  }
  const auto decision = instance.selector_->SelectRetry(
      request.item_.route_, request.tried_, network_.now(), random_);
  if (!decision.target_) {
    return Finish(request, false);
  }
  result_.retries_ += Counted(request) ? 1 : 0;
  Start(number, *decision.target_, AttemptRole::kRetry);
}

auto Simulation::OnServerEvent(const ServerEvent& event) -> void {
  const auto found = attempts_.find(event.attempt_);
  if (found == attempts_.end()) {
    return;  // cancelled
  }
  const auto number = found->second.request_;
  auto& request = requests_[number];
  auto& selector = *instances_[request.instance_].selector_;
  const auto now = network_.now();
  if (event.kind_ == ServerEvent::Kind::kRejected) {
    selector.OnFinish(event.attempt_, AttemptEnd::kFailed, 0, now);
    attempts_.erase(found);
    std::erase(request.attempts_, event.attempt_);
    if (request.attempts_.empty() && !request.done_) {
      Retry(number);
    }
    return;
  }
  if (!request.answering_) {
    request.answering_ = true;
    CancelOthers(request, event.attempt_);
  }
  if (event.kind_ == ServerEvent::Kind::kProgress) {
    selector.OnProgress(event.attempt_, event.tokens_, now);
    return;
  }
  selector.OnFinish(event.attempt_, AttemptEnd::kCompleted, event.tokens_, now);
  attempts_.erase(event.attempt_);
  Finish(request, true);
}

auto Simulation::CancelOthers(Request& request, RouteAttemptId winner) -> void {
  for (const auto attempt : request.attempts_) {
    if (attempt == winner) {
      continue;
    }
    const auto target = attempts_.at(attempt).target_;
    instances_[request.instance_].selector_->OnFinish(
        attempt, AttemptEnd::kCancelled, 0, network_.now());
    attempts_.erase(attempt);
    network_.After(kOneWay, [this, target, attempt](TimePoint) {
      servers_[target]->Cancel(attempt);
    });
  }
  request.attempts_.assign(1, winner);
}

auto Simulation::Counted(const Request& request) const -> bool {
  return request.arrived_ >= TimePoint(settings_.warm_up_);
}

auto Simulation::Finish(Request& request, bool completed) -> void {
  request.done_ = true;
  if (!Counted(request)) {
    return;
  }
  ++result_.requests_;
  if (!completed) {
    ++result_.failed_;
    return;
  }
  const double latency = Seconds(network_.now() - request.arrived_);
  if (request.item_.route_.kind_ == WorkKind::kLong) {
    result_.long_seconds_.push_back(latency);
  } else {
    result_.short_seconds_.push_back(latency);
  }
}

auto Simulation::Run() -> RunResult {
  ScheduleArrivals();
  ScheduleFaults();
  ScheduleReports();
  const auto end = TimePoint(settings_.length_ + seconds(120));
  for (auto at = TimePoint(); at < end; at += kTick) {
    network_.At(at, [this](TimePoint now) {
      for (auto& instance : instances_) {
        instance.selector_->Tick(now);
      }
    });
  }
  for (auto at = TimePoint(); at < end; at += kLongRetry) {
    network_.At(at, [this](TimePoint) {
      for (auto& instance : instances_) {
        auto& waiting = instance.waiting_long_;
        std::erase_if(waiting, [this](auto number) { return Route(number); });
      }
    });
  }
  network_.RunUntil(end);
  std::sort(result_.short_seconds_.begin(), result_.short_seconds_.end());
  std::sort(result_.long_seconds_.begin(), result_.long_seconds_.end());
  std::uint64_t hits = 0;
  std::uint64_t blocks = 0;
  for (const auto& server : servers_) {
    hits += server->hit_blocks();
    blocks += server->hit_blocks() + server->missed_blocks();
  }
  result_.prefix_hit_rate_ =
      blocks == 0 ? 0 : static_cast<double>(hits) / static_cast<double>(blocks);
  const auto within =
      std::upper_bound(result_.short_seconds_.begin(),
                       result_.short_seconds_.end(), kObjectiveSeconds) -
      result_.short_seconds_.begin();
  result_.attainment_ =
      static_cast<double>(within) /
      static_cast<double>(std::max<std::size_t>(
          1, result_.requests_ - result_.long_seconds_.size()));
  return result_;
}

}  // namespace baobab::bench
