#include "server_model.h"

#include <algorithm>
#include <utility>

namespace baobab::bench {
namespace {

constexpr std::uint32_t kTokensPerStep = 8;

auto PriorityOf(WorkKind kind) -> std::size_t {
  switch (kind) {
    case WorkKind::kBooking:
    case WorkKind::kLookup:
      return 0;
    case WorkKind::kShort:
      return 1;
    case WorkKind::kLong:
      break;
  }
  return 2;
}

auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

ServerModel::ServerModel(VirtualNetwork& network, ServerParameters parameters,
                         Listener listener)
    : network_(network),
      parameters_(parameters),
      listener_(std::move(listener)) {}

auto ServerModel::report() const -> LoadReport {
  std::size_t waiting = 0;
  for (const auto& queue : waiting_) {
    waiting += queue.size();
  }
  return {static_cast<std::uint32_t>(running_.size()),
          static_cast<std::uint32_t>(waiting)};
}

auto ServerModel::Submit(Job job) -> void {
  if (failing_ || report().waiting_ >= parameters_.max_waiting_) {
    listener_({ServerEvent::Kind::kRejected, job.attempt_, 0});
    return;
  }
  waiting_[PriorityOf(job.kind_)].push_back(std::move(job));
  StartWaiting();
}

auto ServerModel::Cancel(RouteAttemptId attempt) -> void {
  for (auto& queue : waiting_) {
    std::erase_if(queue,
                  [&](const Job& job) { return job.attempt_ == attempt; });
  }
  if (running_.erase(attempt) > 0) {
    StartWaiting();
  }
}

auto ServerModel::CachedBlocks(const Job& job) -> std::size_t {
  std::size_t cached = 0;
  bool leading = true;
  for (const auto prefix : job.prefixes_) {
    const auto found = cache_.find(prefix);
    leading = leading && found != cache_.end();
    cached += leading ? 1 : 0;
    if (found != cache_.end()) {
      cache_order_.splice(cache_order_.begin(), cache_order_, found->second);
      continue;
    }
    cache_order_.push_front(prefix);
    cache_[prefix] = cache_order_.begin();
    cache_events_.push_back(
        {CacheEvent::Kind::kStored, next_cache_event_++, prefix});
    if (cache_.size() > parameters_.cached_blocks_) {
      cache_events_.push_back({CacheEvent::Kind::kRemoved, next_cache_event_++,
                               cache_order_.back()});
      cache_.erase(cache_order_.back());
      cache_order_.pop_back();
    }
  }
  hits_ += cached;
  misses_ += job.prefixes_.size() - cached;
  return cached;
}

auto ServerModel::StartWaiting() -> void {
  for (auto& queue : waiting_) {
    while (!queue.empty() && running_.size() < parameters_.slots_) {
      auto job = std::move(queue.front());
      queue.pop_front();
      const auto cached = CachedBlocks(job);
      const double part =
          job.prefixes_.empty()
              ? 1
              : 1 - static_cast<double>(cached) /
                        static_cast<double>(job.prefixes_.size());
      const double prefill = slowdown_ * (parameters_.prefill_seconds_ *
                                              job.prompt_tokens_ * part +
                                          parameters_.token_seconds_);
      const auto attempt = job.attempt_;
      running_[attempt] = Running{std::move(job), 0};
      network_.After(FromSeconds(prefill),
                     [this, attempt](TimePoint) { Advance(attempt); });
    }
  }
}

auto ServerModel::Advance(RouteAttemptId attempt) -> void {
  const auto found = running_.find(attempt);
  if (found == running_.end()) {
    return;  // cancelled
  }
  auto& running = found->second;
  const auto total = running.job_.response_tokens_;
  running.tokens_ = running.tokens_ == 0
                        ? 1
                        : std::min(total, running.tokens_ + kTokensPerStep);
  if (running.tokens_ >= total) {
    running_.erase(found);
    listener_({ServerEvent::Kind::kDone, attempt, total});
    StartWaiting();
    return;
  }
  listener_({ServerEvent::Kind::kProgress, attempt, running.tokens_});
  const auto next = std::min(kTokensPerStep, total - running.tokens_);
  const double batch = 1 + parameters_.batch_slowdown_ *
                               static_cast<double>(running_.size()) /
                               parameters_.slots_;
  network_.After(
      FromSeconds(slowdown_ * batch * parameters_.token_seconds_ * next),
      [this, attempt](TimePoint) { Advance(attempt); });
}

}  // namespace baobab::bench
