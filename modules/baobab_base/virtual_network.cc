#include "baobab_base/virtual_network.h"

#include <algorithm>

namespace baobab {

VirtualNetwork::VirtualNetwork(std::uint64_t seed, LinkFaults faults)
    : random_(seed), faults_(faults) {}

auto VirtualNetwork::At(TimePoint when, Event event) -> void {
  events_.push(Entry{std::max(when, now_), next_sequence_++, std::move(event)});
}

auto VirtualNetwork::OnNode(std::size_t node, Duration delay, Event event)
    -> void {
  After(delay, [this, node, event = std::move(event)](TimePoint now) {
    if (IsPaused(node)) {
      At(paused_until_[node], event);
    } else {
      event(now);
    }
  });
}

auto VirtualNetwork::Send(std::size_t from, std::size_t to,
                          const Event& deliver) -> void {
  if (cut_.contains(std::minmax(from, to)) || Chance(faults_.loss_)) {
    return;
  }
  OnNode(to, RandomDelay(), deliver);
  if (Chance(faults_.duplicate_)) {
    OnNode(to, RandomDelay(), deliver);
  }
}

auto VirtualNetwork::Cut(std::size_t a, std::size_t b) -> void {
  cut_.insert(std::minmax(a, b));
}

auto VirtualNetwork::Pause(std::size_t node, TimePoint until) -> void {
  if (paused_until_.size() <= node) {
    paused_until_.resize(node + 1);
  }
  paused_until_[node] = until;
}

auto VirtualNetwork::IsPaused(std::size_t node) const -> bool {
  return node < paused_until_.size() && now_ < paused_until_[node];
}

auto VirtualNetwork::RunUntil(TimePoint until) -> void {
  while (!events_.empty() && events_.top().when_ <= until) {
    auto entry = events_.top();
    events_.pop();
    now_ = entry.when_;
    entry.event_(now_);
  }
  now_ = std::max(now_, until);
}

auto VirtualNetwork::RandomDelay() -> Duration {
  std::uniform_int_distribution<Duration::rep> delay(
      faults_.min_delay_.count(), faults_.max_delay_.count());
  return Duration(delay(random_));
}

auto VirtualNetwork::Chance(double probability) -> bool {
  return probability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

}  // namespace baobab
