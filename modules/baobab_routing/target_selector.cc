#include "baobab_routing/target_selector.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

constexpr double kLeastStreamedTokens = 2;
// Times the predicted time to the first token.
constexpr double kOverdueRatio = 12;
// Times the usual gap between data of a stream.
constexpr double kOverdueGapRatio = 4;
constexpr double kOverdueGrowth = 1.5;
// Beyond its predicted length a request is expected to go on for a while:
// lengths are heavy-tailed, so the longer it ran, the more remains.
constexpr double kTailPart = 0.25;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

TargetSelector::TargetSelector(TargetSelectorSettings settings)
    : settings_(std::move(settings)),
      table_(settings_.table_),
      stragglers_(settings_.stragglers_),
      prefixes_(settings_.prefixes_),
      hedges_(settings_.hedge_fraction_),
      retries_(settings_.retry_fraction_, settings_.retry_burst_) {}

auto TargetSelector::OnStart(RouteAttemptId attempt, TargetIndex target,
                             AttemptRole role, const RouteRequest& request,
                             TimePoint now) -> void {
  const auto model = table_.FindModel(request.model_);
  if (!model) {
    return;
  }
  Attempt record;
  record.target_ = target;
  record.model_ = *model;
  record.kind_ = request.kind_;
  record.role_ = role;
  record.idempotent_ = request.idempotent_;
  record.hedged_ = role == AttemptRole::kHedge || role == AttemptRole::kProbe;
  const auto blocks = prefixes_.BlocksAt(target, request.prefixes_, now);
  const double cached = request.prefixes_.empty()
                            ? 0
                            : static_cast<double>(blocks) /
                                  static_cast<double>(request.prefixes_.size());
  record.uncached_tokens_ = request.prompt_tokens_ * (1 - cached);
  record.predicted_ =
      predictor_.Predict(*model, request.kind_, record.uncached_tokens_);
  record.work_ =
      record.predicted_.seconds_ + record.predicted_.first_token_seconds_;
  record.next_overdue_seconds_ =
      kOverdueRatio * record.predicted_.first_token_seconds_;
  record.started_ = now;
  if (!attempts_.emplace(attempt, record).second) {
    return;
  }
  auto& load = table_.load(target);
  load.own_work_ += record.work_;
  ++load.own_count_;
  load.own_long_ += request.kind_ == WorkKind::kLong ? 1 : 0;
  prefixes_.OnSent(target, request.prefixes_, now);
}

auto TargetSelector::Observe(const Attempt& attempt, double ratio,
                             TimePoint now) -> void {
  if (!attempt.predicted_.known_) {
    return;
  }
  stragglers_.Observe(attempt.target_, ratio, table_.Holders(attempt.model_),
                      now);
}

auto TargetSelector::ReduceWork(Attempt& attempt, double work) -> void {
  auto& load = table_.load(attempt.target_);
  load.own_work_ = std::max(0.0, load.own_work_ + work - attempt.work_);
  attempt.work_ = work;
}

auto TargetSelector::OnFirstToken(RouteAttemptId attempt, TimePoint now)
    -> void {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second.answering_) {
    return;
  }
  auto& record = found->second;
  record.answering_ = true;
  record.first_token_ = now;
  record.last_progress_ = now;
  record.tokens_ = 1;
  const double seconds = Seconds(now - record.started_);
  const double ratio = seconds / record.predicted_.first_token_seconds_;
  predictor_.OnFirstToken(record.model_, record.kind_, record.uncached_tokens_,
                          seconds);
  if (record.role_ == AttemptRole::kFirst) {
    hedges_.OnFirstByte(record.kind_, ratio);
  }
  // With tokens the pace tells more: the first one also waits for a slot, so
  // that a full server would count as a slow one.
  if (record.predicted_.tokens_ < kLeastStreamedTokens) {
    Observe(record, ratio, now);
  }
  ReduceWork(record, record.predicted_.seconds_);
}

auto TargetSelector::OnProgress(RouteAttemptId attempt, std::uint32_t tokens,
                                TimePoint now) -> void {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  auto& record = found->second;
  if (!record.answering_) {
    OnFirstToken(attempt, now);
  }
  if (tokens <= record.tokens_) {
    return;
  }
  const double gap = Seconds(now - record.last_progress_);
  const double interval = gap / (tokens - record.tokens_);
  record.usual_gap_seconds_ =
      record.predicted_.token_seconds_ * (tokens - record.tokens_);
  record.next_overdue_seconds_ = kOverdueGapRatio * record.usual_gap_seconds_;
  record.tokens_ = tokens;
  record.last_progress_ = now;
  Observe(record, interval / record.predicted_.token_seconds_, now);
  const double left =
      std::max(record.predicted_.tokens_ - tokens, kTailPart * tokens);
  ReduceWork(record, left * record.predicted_.token_seconds_);
}

auto TargetSelector::OnFinish(RouteAttemptId attempt, AttemptEnd end,
                              std::uint32_t tokens, TimePoint now) -> void {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  if (end == AttemptEnd::kCompleted) {
    OnFirstToken(attempt, now);
  }
  auto record = found->second;
  ReduceWork(record, 0);
  auto& load = table_.load(record.target_);
  --load.own_count_;
  load.own_long_ -= record.kind_ == WorkKind::kLong ? 1 : 0;
  attempts_.erase(found);
  if (end == AttemptEnd::kCompleted) {
    predictor_.OnComplete(record.model_, record.kind_, tokens,
                          Seconds(now - record.first_token_));
  } else if (end == AttemptEnd::kFailed) {
    stragglers_.ObserveFailure(record.target_, table_.Holders(record.model_),
                               now);
  }
}

auto TargetSelector::Tick(TimePoint now) -> void {
  stragglers_.Tick(now);
  for (auto& [id, record] : attempts_) {
    const double usual = record.answering_
                             ? record.usual_gap_seconds_
                             : record.predicted_.first_token_seconds_;
    const double waited = Seconds(
        now - (record.answering_ ? record.last_progress_ : record.started_));
    if (usual > 0 && waited >= record.next_overdue_seconds_) {
      record.next_overdue_seconds_ = kOverdueGrowth * waited;
      Observe(record, waited / usual, now);
    }
  }
}

auto TargetSelector::OnReport(TargetIndex target, const LoadReport& report,
                              TimePoint now) -> void {
  table_.OnReport(target, report, now);
  OnReachable(target);
}

auto TargetSelector::OnCacheEvent(TargetIndex target, const CacheEvent& event,
                                  TimePoint now) -> void {
  prefixes_.OnCacheEvent(target, event, now);
}

auto TargetSelector::OnDraining(TargetIndex target) -> void {
  table_.Process(target, target_event::Drain{});
}

auto TargetSelector::OnUnreachable(TargetIndex target) -> void {
  table_.Process(target, target_event::Unreachable{});
}

auto TargetSelector::OnReachable(TargetIndex target) -> void {
  table_.Process(target, target_event::Reachable{});
}

auto TargetSelector::OnRestarted(TargetIndex target, TimePoint now) -> void {
  table_.Process(target, target_event::Restarted{});
  prefixes_.Clear(target, now);
  stragglers_.Reset(target);
}

auto TargetSelector::OnRemoved(TargetIndex target) -> void {
  table_.Process(target, target_event::Removed{});
}

auto TargetSelector::SetLongShare(std::uint32_t instances,
                                  std::uint32_t position) -> void {
  instances_ = std::max<std::uint32_t>(instances, 1);
  position_ = position;
}

}  // namespace baobab
