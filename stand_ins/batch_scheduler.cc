#include "stand_ins/batch_scheduler.h"

#include <algorithm>

namespace baobab::stand_in {
namespace {

auto Scale(Duration time, double factor) -> Duration {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

}  // namespace

auto BatchScheduler::TokenTime() const -> Duration {
  const auto others = running_.empty() ? 0 : running_.size() - 1;
  return Scale(
      settings_.token_time_,
      slowdown_ * (1 + settings_.batch_penalty_ * static_cast<double>(others)));
}

auto BatchScheduler::Submit(const Generation& generation, TimePoint now)
    -> std::optional<std::uint64_t> {
  if (running_.size() >= settings_.slots_ &&
      waiting_.size() >= settings_.waiting_limit_) {
    return std::nullopt;
  }
  const auto ticket = next_ticket_++;
  waiting_.emplace(WaitingKey{-generation.priority_, ticket}, generation);
  FillSlots(now);
  return ticket;
}

auto BatchScheduler::FillSlots(TimePoint now) -> void {
  while (running_.size() < settings_.slots_ && !waiting_.empty()) {
    const auto first = waiting_.begin();
    Sequence sequence;
    sequence.generation_ = first->second;
    sequence.next_ = first->second.first_;
    const auto prefill =
        settings_.prefill_token_time_ *
        static_cast<Duration::rep>(first->second.prompt_tokens_);
    const auto ticket = first->first.second;
    waiting_.erase(first);
    auto& added = running_[ticket] = std::move(sequence);
    added.due_ = now + Scale(prefill, slowdown_) + TokenTime();
  }
}

auto BatchScheduler::Cancel(std::uint64_t ticket, TimePoint now) -> bool {
  if (running_.erase(ticket) != 0) {
    FillSlots(now);
    return true;
  }
  const auto found = std::find_if(
      waiting_.begin(), waiting_.end(),
      [ticket](const auto& e) { return e.first.second == ticket; });
  if (found == waiting_.end()) {
    return false;
  }
  waiting_.erase(found);
  return true;
}

auto BatchScheduler::Find(const std::string& request_id) const
    -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, sequence] : running_) {
    if (sequence.generation_.request_id_ == request_id) {
      tickets.push_back(ticket);
    }
  }
  for (const auto& [key, generation] : waiting_) {
    if (generation.request_id_ == request_id) {
      tickets.push_back(key.second);
    }
  }
  return tickets;
}

auto BatchScheduler::Advance(TimePoint now) -> std::vector<TokenEvent> {
  std::vector<TokenEvent> events;
  while (!running_.empty()) {
    const auto next = std::min_element(running_.begin(), running_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.due_ < b.second.due_;
                                       });
    auto& sequence = next->second;
    if (sequence.due_ > now) {
      break;
    }
    const auto due = sequence.due_;
    const bool last = sequence.next_ + 1 >= sequence.generation_.end_;
    events.push_back({next->first, sequence.next_, last});
    if (last) {
      running_.erase(next);
      FillSlots(due);
    } else {
      ++sequence.next_;
      sequence.due_ = due + TokenTime();
    }
  }
  return events;
}

auto BatchScheduler::NextDue() const -> std::optional<TimePoint> {
  std::optional<TimePoint> next;
  for (const auto& [ticket, sequence] : running_) {
    next = next ? std::min(*next, sequence.due_) : sequence.due_;
  }
  return next;
}

}  // namespace baobab::stand_in
