// Copies of idempotent calls of ServiceController.

#include <algorithm>
#include <utility>
#include <vector>

#include "service_controller.h"

namespace baobab {

auto ServiceController::StartCopy(const WorkPointer& work, TargetIndex target,
                                  AttemptRole role) -> void {
  Attempt attempt;
  attempt.work_ = work->id_;
  attempt.deadline_ = work->deadline_;
  work->tried_.push_back(target);
  SendAttempt(*work, target, role, std::move(attempt));
}

auto ServiceController::HedgeLate(TimePoint now) -> void {
  std::vector<RouteAttemptId> late;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.hedge_at_ && now >= *attempt.hedge_at_) {
      late.push_back(id);
    }
  }
  for (const auto id : late) {
    auto& attempt = attempts_.at(id);
    attempt.hedge_at_.reset();
    const auto work = Find(attempt.work_);
    if (!work || work->key_) {
      continue;
    }
    const auto decision =
        targets_.selector().SelectHedge(id, now, context_.random_);
    if (decision.target_) {
      context_.metrics_.Add("baobab_hedges_total", "");
      StartCopy(work, *decision.target_, AttemptRole::kHedge);
    } else if (decision.hedge_after_ > Duration::zero()) {
      attempt.hedge_at_ = now + decision.hedge_after_;
    }
  }
}

auto ServiceController::HasCopy(std::uint64_t work) const -> bool {
  return std::any_of(
      attempts_.begin(), attempts_.end(),
      [&](const auto& entry) { return entry.second.work_ == work; });
}

auto ServiceController::CancelCopies(std::uint64_t work) -> void {
  std::vector<RouteAttemptId> copies;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.work_ == work && attempt.routed_) {
      copies.push_back(id);
    }
  }
  for (const auto id : copies) {
    attempts_.erase(id);
    context_.targets_.Send(CancelAttempt{id});
    targets_.selector().OnFinish(id, AttemptEnd::kCancelled, 0, context_.Now());
  }
}

}  // namespace baobab
