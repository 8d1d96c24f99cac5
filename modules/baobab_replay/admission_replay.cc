#include "baobab_replay/admission_replay.h"

#include <chrono>
#include <random>

namespace baobab::replay {
namespace {

// Time after the last event for work in progress to end.
constexpr auto kSettle = std::chrono::minutes(10);
constexpr auto kSweepInterval = std::chrono::milliseconds(100);
constexpr std::size_t kDefaultMaxWaiting = 4096;

auto SlotsOf(const TraceFields& fields) -> std::size_t {
  return static_cast<std::size_t>(fields.Number("slots"));
}

}  // namespace

AdmissionReplay::AdmissionReplay(const Trace& trace)
    : events_(trace.seed_, LinkFaults{}),
      queue_({.max_waiting_ = static_cast<std::size_t>(
                  trace.settings_.Number("max_waiting", kDefaultMaxWaiting))}),
      slots_(SlotsOf(trace.settings_)),
      long_slots_(
          static_cast<std::size_t>(trace.settings_.Number("long_slots"))) {
  queue_.SetParallelism(slots_);
  ScheduleSweep();
}

auto AdmissionReplay::Apply(const TraceEvent& event) -> void {
  events_.RunUntil(event.at_);
  if (event.type_ == "arrivals") {
    ScheduleArrivals(event.fields_, event.at_);
  } else if (event.type_ == "slots") {
    slots_ = SlotsOf(event.fields_);
    queue_.SetParallelism(slots_);
    StartWaiting(event.at_);
  } else {
    event.fields_.Fail("unknown event \"" + event.type_ + "\"");
  }
}

auto AdmissionReplay::Finish() -> Measures {
  events_.RunUntil(events_.now() + kSettle);
  Measures measures;
  for (const auto& [flow, counts] : counts_) {
    measures[flow + ".arrived"] = counts.arrived_;
    measures[flow + ".started"] = counts.started_;
    measures[flow + ".refused"] = counts.refused_;
    measures[flow + ".expired"] = counts.expired_;
    measures[flow + ".p99_wait_ms"] =
        std::chrono::duration<double, std::milli>(counts.wait_.Quantile(0.99))
            .count();
  }
  measures["lost"] = static_cast<double>(waiting_.size());
  return measures;
}

auto AdmissionReplay::ScheduleSweep() -> void {
  events_.After(kSweepInterval, [this](TimePoint now) {
    RefuseLate(now);
    ScheduleSweep();
  });
}

auto AdmissionReplay::ScheduleArrivals(const TraceFields& fields,
                                       TimePoint from) -> void {
  const auto kind = ParseWorkKind(fields.Text("kind"));
  if (!kind) {
    fields.Fail("unknown kind \"" + fields.Text("kind") + "\"");
  }
  limits::QueuedRequest request;
  request.customer_ = CustomerId(fields.Text("customer"));
  request.kind_ = *kind;
  request.weight_ = static_cast<unsigned>(fields.Number("weight", 1));
  request.predicted_service_ = fields.Milliseconds("service_ms");
  const auto deadline = fields.Milliseconds("deadline_ms");
  const auto flow = fields.Text("customer") + "." + fields.Text("kind");
  std::exponential_distribution<double> gap(fields.Number("per_second"));
  const auto until = from + fields.Milliseconds("for_ms");
  auto next_gap = [&] {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(events_.random())));
  };
  for (auto at = from + next_gap(); at < until; at += next_gap()) {
    request.id_ = next_id_++;
    request.deadline_ = at + deadline;
    events_.At(at, [this, request, flow](TimePoint now) {
      Arrive(request, flow, now);
    });
  }
}

auto AdmissionReplay::Arrive(const limits::QueuedRequest& request,
                             const std::string& flow, TimePoint now) -> void {
  RefuseLate(now);
  ++counts_[flow].arrived_;
  waiting_[request.id_] = {now, request.deadline_, request.predicted_service_,
                           flow};
  for (const auto& refused : queue_.Offer(request, now)) {
    const auto found = waiting_.find(refused.id_);
    ++counts_[found->second.flow_].refused_;
    waiting_.erase(found);
  }
  StartWaiting(now);
}

auto AdmissionReplay::StartWaiting(TimePoint now) -> void {
  while (busy_ < slots_) {
    const auto request = queue_.TakeNext(now, [this](const auto& candidate) {
      return candidate.kind_ != WorkKind::kLong || busy_long_ < long_slots_;
    });
    if (!request) {
      return;
    }
    const auto found = waiting_.find(request->id_);
    auto& counts = counts_[found->second.flow_];
    ++counts.started_;
    counts.wait_.Record(now - found->second.arrived_);
    ++busy_;
    const std::size_t busy_long = request->kind_ == WorkKind::kLong ? 1 : 0;
    busy_long_ += busy_long;
    events_.After(found->second.service_, [this, busy_long](TimePoint end) {
      --busy_;
      busy_long_ -= busy_long;
      StartWaiting(end);
    });
    waiting_.erase(found);
  }
}

auto AdmissionReplay::RefuseLate(TimePoint now) -> void {
  for (const auto& request : queue_.RemoveLate(now)) {
    const auto found = waiting_.find(request.id_);
    auto& counts = counts_[found->second.flow_];
    ++(found->second.deadline_ < now ? counts.expired_ : counts.refused_);
    waiting_.erase(found);
  }
}

}  // namespace baobab::replay
