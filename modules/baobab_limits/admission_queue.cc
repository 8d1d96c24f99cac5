#include "baobab_limits/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace baobab::limits {
namespace {

// Order in which kinds of work start.
constexpr std::array<WorkKind, kWorkKinds> kStartOrder = {
    WorkKind::kBooking, WorkKind::kLookup, WorkKind::kShort, WorkKind::kLong};
// Order in which a customer above its share loses requests.
constexpr std::array<WorkKind, kWorkKinds> kShedOrder = {
    WorkKind::kLong, WorkKind::kShort, WorkKind::kLookup, WorkKind::kBooking};

auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Callers get whole seconds, and never zero, so that refused work does not
// return at once.
auto RoundUpToSeconds(Duration duration) -> Duration {
  return std::max<Duration>(std::chrono::ceil<std::chrono::seconds>(duration),
                            std::chrono::seconds(1));
}

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueSettings settings)
    : settings_(settings) {}

auto AdmissionQueue::SetParallelism(std::size_t parallelism) -> void {
  parallelism_ = std::max<std::size_t>(parallelism, 1);
}

auto AdmissionQueue::Offer(const QueuedRequest& request, TimePoint now)
    -> std::vector<RefusedRequest> {
  const auto wait = PredictWait(request, now);
  auto& flows = FlowsOf(request.kind_);
  const auto found = flows.find(request.customer_);
  const bool flow_full =
      found != flows.end() &&
      found->second.requests_.size() >= settings_.max_waiting_per_flow_;
  if (now + wait > request.deadline_ || flow_full) {
    return {{request.id_, RoundUpToSeconds(wait)}};
  }
  auto& flow = found != flows.end() ? found->second : flows[request.customer_];
  if (flow.requests_.empty()) {
    flow.next_start_tag_ =
        std::max(flow.next_start_tag_,
                 virtual_time_[static_cast<std::size_t>(request.kind_)]);
  }
  flow.weight_ = std::max(request.weight_, 1U);
  flow.waiting_work_ += request.predicted_service_;
  flow.requests_.push_back(request);
  auto& load = loads_[request.customer_];
  ++load.waiting_;
  load.weight_ = flow.weight_;
  ++size_;
  ++waiting_[static_cast<std::size_t>(request.kind_)];
  UpdateBacklog(now);
  if (size_ <= settings_.max_waiting_) {
    return {};
  }
  const auto shed = ShedNewestOf(CustomerFurthestAboveShare());
  return {{shed.id_, RoundUpToSeconds(PredictWait(shed, now))}};
}

auto AdmissionQueue::TakeNext(TimePoint now, const CanStart& can_start)
    -> std::optional<QueuedRequest> {
  auto request = Choose([&](const QueuedRequest& candidate) {
    return candidate.deadline_ >= now && can_start(candidate);
  });
  if (!request) {
    return std::nullopt;
  }
  starts_since_long_ =
      request->kind_ == WorkKind::kLong ? 0 : starts_since_long_ + 1;
  drain_[static_cast<std::size_t>(request->kind_)].OnStarted(
      request->predicted_service_, now);
  UpdateBacklog(now);
  return request;
}

auto AdmissionQueue::Choose(const CanStart& can_start)
    -> std::optional<QueuedRequest> {
  if (starts_since_long_ + 1 >= settings_.long_work_interval_) {
    if (auto request = TakeFromKind(WorkKind::kLong, can_start)) {
      return request;
    }
  }
  for (const auto kind : kStartOrder) {
    if (auto request = TakeFromKind(kind, can_start)) {
      return request;
    }
  }
  return std::nullopt;
}

auto AdmissionQueue::RemoveLate(TimePoint now) -> std::vector<RefusedRequest> {
  std::vector<RefusedRequest> late;
  for (std::size_t index = 0; index < kWorkKinds; ++index) {
    auto& flows = flows_[index];
    for (auto flow = flows.begin(); flow != flows.end();) {
      const auto next = std::next(flow);
      const auto waiting = flow->second.requests_.size();
      double own_work = 0;  // of the requests ahead that stay
      std::size_t position = 0;
      for (std::size_t i = 0; i < waiting; ++i) {
        const auto& request = flow->second.requests_[position];
        const auto wait = WaitBehind(request, own_work, now);
        if (now + wait > request.deadline_) {
          late.push_back({request.id_, RoundUpToSeconds(wait)});
          Erase(flows, flow, position);
        } else {
          own_work += ToSeconds(request.predicted_service_);
          ++position;
        }
      }
      flow = next;
    }
  }
  UpdateBacklog(now);
  return late;
}

auto AdmissionQueue::Cancel(std::uint64_t id) -> bool {
  for (auto& flows : flows_) {
    for (auto flow = flows.begin(); flow != flows.end(); ++flow) {
      const auto& requests = flow->second.requests_;
      const auto found =
          std::find_if(requests.begin(), requests.end(),
                       [id](const auto& request) { return request.id_ == id; });
      if (found != requests.end()) {
        Erase(flows, flow, static_cast<std::size_t>(found - requests.begin()));
        return true;
      }
    }
  }
  return false;
}

auto AdmissionQueue::PredictWait(const QueuedRequest& request,
                                 TimePoint now) const -> Duration {
  const auto& flows = FlowsOf(request.kind_);
  const auto own = flows.find(request.customer_);
  const double own_work =
      own == flows.end() ? 0 : ToSeconds(own->second.waiting_work_);
  return WaitBehind(request, own_work, now);
}

auto AdmissionQueue::WaitBehind(const QueuedRequest& request, double own_work,
                                TimePoint now) const -> Duration {
  double work =
      own_work + WorkOfOthers(request.customer_, request.kind_, own_work,
                              std::max(request.weight_, 1U));
  // The first of a backlog waits for the next start too. Without this, 1 in 100
  // short requests at a crest was refused only at its deadline.
  if (waiting_[static_cast<std::size_t>(request.kind_)] > 0) {
    work += ToSeconds(request.predicted_service_);
  }
  return FromSeconds(WaitForHigher(request.kind_, now) +
                     work / DrainRate(request.kind_, now));
}

// Seconds until the waiting work of higher kinds has started.
auto AdmissionQueue::WaitForHigher(WorkKind kind, TimePoint now) const
    -> double {
  double wait = 0;
  for (const auto higher : kStartOrder) {
    if (higher == kind) {
      break;
    }
    double work = 0;
    for (const auto& [name, flow] : FlowsOf(higher)) {
      work += ToSeconds(flow.waiting_work_);
    }
    wait += work / DrainRate(higher, now);
  }
  return wait;
}

// Work of other customers that fair queueing starts while it starts `own_work`
// of `customer`; one request of each may be in between.
auto AdmissionQueue::WorkOfOthers(const CustomerId& customer, WorkKind kind,
                                  double own_work, double own_weight) const
    -> double {
  double work = 0;
  for (const auto& [name, flow] : FlowsOf(kind)) {
    if (name == customer || flow.requests_.empty()) {
      continue;
    }
    const double first = ToSeconds(flow.requests_.front().predicted_service_);
    work += std::min(ToSeconds(flow.waiting_work_),
                     own_work * flow.weight_ / own_weight + first);
  }
  return work;
}

// The rate of a kind is measured while it waits, so it includes what arrivals
// of higher kinds take away from it.
auto AdmissionQueue::DrainRate(WorkKind kind, TimePoint now) const -> double {
  return drain_[static_cast<std::size_t>(kind)].RatePerSecond(parallelism_,
                                                              now);
}

auto AdmissionQueue::UpdateBacklog(TimePoint now) -> void {
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    drain_[kind].SetBacklogged(waiting_[kind] > 0, now);
  }
}

auto AdmissionQueue::FlowsOf(WorkKind kind) -> Flows& {
  return flows_[static_cast<std::size_t>(kind)];
}

auto AdmissionQueue::FlowsOf(WorkKind kind) const -> const Flows& {
  return flows_[static_cast<std::size_t>(kind)];
}

auto AdmissionQueue::Erase(Flows& flows, Flows::iterator flow,
                           std::size_t position) -> QueuedRequest {
  auto& requests = flow->second.requests_;
  const auto taken = requests.begin() + static_cast<std::ptrdiff_t>(position);
  auto request = std::move(*taken);
  requests.erase(taken);
  flow->second.waiting_work_ -= request.predicted_service_;
  --size_;
  --waiting_[static_cast<std::size_t>(request.kind_)];
  const auto load = loads_.find(request.customer_);
  if (--load->second.waiting_ == 0) {
    loads_.erase(load);
  }
  // A flow whose tag is still ahead of virtual time stays, so that a customer
  // cannot reset its share by letting its queue run empty.
  if (requests.empty() &&
      flow->second.next_start_tag_ <=
          virtual_time_[static_cast<std::size_t>(request.kind_)]) {
    flows.erase(flow);
  }
  return request;
}

auto AdmissionQueue::TakeFromKind(WorkKind kind, const CanStart& can_start)
    -> std::optional<QueuedRequest> {
  auto& flows = FlowsOf(kind);
  std::vector<Flows::iterator> order;
  for (auto flow = flows.begin(); flow != flows.end(); ++flow) {
    if (!flow->second.requests_.empty()) {
      order.push_back(flow);
    }
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a->second.next_start_tag_ < b->second.next_start_tag_;
  });
  for (const auto& flow : order) {
    if (auto request = TakeFromFlow(kind, flow, can_start)) {
      return request;
    }
  }
  return std::nullopt;
}

auto AdmissionQueue::TakeFromFlow(WorkKind kind, Flows::iterator flow,
                                  const CanStart& can_start)
    -> std::optional<QueuedRequest> {
  const auto count =
      std::min(flow->second.requests_.size(), settings_.lookahead_);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& request = flow->second.requests_[i];
    if (!can_start(request)) {
      continue;
    }
    auto& virtual_time = virtual_time_[static_cast<std::size_t>(kind)];
    virtual_time = std::max(virtual_time, flow->second.next_start_tag_);
    flow->second.next_start_tag_ +=
        ToSeconds(request.predicted_service_) / flow->second.weight_;
    return Erase(FlowsOf(kind), flow, i);
  }
  return std::nullopt;
}

auto AdmissionQueue::CustomerFurthestAboveShare() const -> CustomerId {
  const auto excess = [](const auto& entry) {
    return static_cast<double>(entry.second.waiting_) / entry.second.weight_;
  };
  return std::max_element(loads_.begin(), loads_.end(),
                          [&](const auto& a, const auto& b) {
                            return excess(a) < excess(b);
                          })
      ->first;
}

auto AdmissionQueue::ShedNewestOf(const CustomerId& customer) -> QueuedRequest {
  for (const auto kind : kShedOrder) {
    auto& flows = FlowsOf(kind);
    const auto flow = flows.find(customer);
    if (flow != flows.end() && !flow->second.requests_.empty()) {
      return Erase(flows, flow, flow->second.requests_.size() - 1);
    }
  }
  return {};
}

}  // namespace baobab::limits
