#include "admission_control.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

auto QueueSettings(const AdmissionSettings& settings)
    -> limits::AdmissionQueueSettings {
  limits::AdmissionQueueSettings queue;
  queue.max_waiting_ = settings.max_waiting_;
  queue.max_waiting_per_flow_ = settings.max_waiting_per_flow_;
  return queue;
}

}  // namespace

AdmissionControl::AdmissionControl(ControlContext& context,
                                   TargetDirectory& targets,
                                   LimitController& limits)
    : context_(context),
      targets_(targets),
      limits_(limits),
      queue_(QueueSettings(context.settings_.admission_)) {}

auto AdmissionControl::OverLoad(Duration retry_after) const -> Problem {
  Problem problem;
  problem.status_ = 503;
  problem.step_ = "admission";
  problem.detail_ = "the request cannot start before its deadline";
  problem.retry_after_ = retry_after;
  return problem;
}

auto AdmissionControl::OverLimit(const LimitRefusal& refusal) const -> Problem {
  const std::string limit(ToString(refusal.kind_));
  context_.metrics_.Add("baobab_limit_refusals_total",
                        "limit=\"" + limit + "\"");
  Problem problem;
  problem.status_ = 429;
  problem.step_ = "limit";
  problem.detail_ =
      "the contract's limit " + limit + " is used up at this instance";
  problem.retry_after_ = refusal.retry_after_;
  return problem;
}

auto AdmissionControl::Submit(std::uint64_t id, const AdmissionRequest& request,
                              Start start, Refuse refuse) -> void {
  if (const auto refusal =
          limits_.Admit(request.customer_, request.kind_,
                        request.predicted_tokens_, request.deadline_)) {
    refuse(id, OverLimit(*refusal));
    return;
  }
  entries_[id] = {request, std::move(start), std::move(refuse)};
  Enqueue(id, request);
  Pump();
}

auto AdmissionControl::Enqueue(std::uint64_t id,
                               const AdmissionRequest& request) -> void {
  const auto* contract = context_.contracts_.Find(request.customer_);
  limits::QueuedRequest queued;
  queued.id_ = id;
  queued.customer_ = request.customer_;
  queued.kind_ = request.kind_;
  queued.weight_ =
      contract == nullptr ? 1 : static_cast<unsigned>(contract->weight_);
  queued.deadline_ = request.deadline_;
  queued.predicted_service_ = request.predicted_service_;
  queue_.SetParallelism(std::max<std::size_t>(targets_.TotalSlots(), 1));
  for (const auto& refused : queue_.Offer(queued, context_.Now())) {
    RefuseEntry(refused.id_, OverLoad(refused.retry_after_));
  }
}

auto AdmissionControl::PutBack(std::uint64_t id) -> void {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.started_) {
    found->second.started_ = false;
    --running_;
    put_back_.push_back(id);
  }
}

auto AdmissionControl::RefuseEntry(std::uint64_t id, const Problem& problem)
    -> void {
  auto node = entries_.extract(id);
  if (node) {
    const auto& request = node.mapped().request_;
    limits_.Release(request.customer_, request.kind_);
    node.mapped().refuse_(id, problem);
  }
}

auto AdmissionControl::Pump() -> void {
  // A start may end at once and ask for the next; the loop below takes it.
  if (std::exchange(pumping_, true)) {
    return;
  }
  const auto can_start = [this](const limits::QueuedRequest& queued) {
    const auto found = entries_.find(queued.id_);
    return found != entries_.end() &&
           targets_.HasRoom(found->second.request_.model_,
                            found->second.request_.kind_);
  };
  while (const auto next = queue_.TakeNext(context_.Now(), can_start)) {
    const auto found = entries_.find(next->id_);
    if (found == entries_.end()) {
      continue;
    }
    found->second.started_ = true;
    ++running_;
    const auto start = found->second.start_;
    start(next->id_);
  }
  // Queued only now, so that the loop does not take them again at once.
  for (const auto id : std::exchange(put_back_, {})) {
    if (const auto found = entries_.find(id); found != entries_.end()) {
      Enqueue(id, AdmissionRequest(found->second.request_));
    }
  }
  pumping_ = false;
}

auto AdmissionControl::Finish(std::uint64_t id) -> void {
  const auto node = entries_.extract(id);
  if (!node) {
    return;
  }
  const auto& request = node.mapped().request_;
  limits_.Release(request.customer_, request.kind_);
  if (node.mapped().started_) {
    --running_;
  } else {
    queue_.Cancel(id);
  }
  Pump();
}

auto AdmissionControl::Tick() -> void {
  for (const auto& late : queue_.RemoveLate(context_.Now())) {
    RefuseEntry(late.id_, OverLoad(late.retry_after_));
  }
  Pump();
  context_.metrics_.Set("baobab_waiting_requests", "",
                        static_cast<double>(queue_.size()));
  context_.metrics_.Set("baobab_running_requests", "",
                        static_cast<double>(running_));
}

}  // namespace baobab
