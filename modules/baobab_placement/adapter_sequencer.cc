#include "baobab_placement/adapter_sequencer.h"

#include <algorithm>

namespace baobab::placement {

auto AdapterSequencer::Confirm(const TargetId& target, std::int64_t budget_mb,
                               TimePoint asked_at) -> void {
  const auto [found, added] = servers_.try_emplace(target);
  auto& server = found->second;
  // A lapsed term may have let another sequencer in and out again.
  if (added || asked_at >= server.confirmed_ + settings_.term_) {
    server.start_ = asked_at + settings_.takeover_;
    server.former_mb_ = settings_.in_flight_mb_;
    server.engine_ = 0;
  }
  server.budget_mb_ = budget_mb;
  server.confirmed_ = std::max(server.confirmed_, asked_at);
}

auto AdapterSequencer::FormerEnded(const TargetId& target) -> void {
  if (const auto found = servers_.find(target); found != servers_.end()) {
    found->second.former_mb_ = 0;
  }
}

auto AdapterSequencer::Charged(const Server& server) -> std::int64_t {
  auto charged = server.former_mb_;
  for (const auto& [adapter, entry] : server.entries_) {
    charged += entry.memory_mb_;
  }
  return charged;
}

auto AdapterSequencer::InFlightMb(const Server& server) -> std::int64_t {
  std::int64_t memory = 0;
  for (const auto& [adapter, entry] : server.entries_) {
    memory += entry.phase_ == CopyPhase::kLoading ? entry.memory_mb_ : 0;
  }
  return memory;
}

auto AdapterSequencer::ChargedMb(const TargetId& target) const -> std::int64_t {
  const auto found = servers_.find(target);
  return found == servers_.end() ? 0 : Charged(found->second);
}

auto AdapterSequencer::Need(const TargetId& target, const AdapterId& adapter,
                            std::int64_t memory_mb, TimePoint now)
    -> AdapterState {
  sizes_[adapter] = memory_mb;
  const auto found = servers_.find(target);
  if (found == servers_.end()) {
    return AdapterState::kElsewhere;
  }
  auto& server = found->second;
  if (memory_mb > settings_.in_flight_mb_ ||
      memory_mb > server.budget_mb_ - server.former_mb_) {
    return AdapterState::kNoRoom;
  }
  const auto entry = server.entries_.find(adapter);
  if (entry != server.entries_.end() &&
      entry->second.phase_ != CopyPhase::kUnloading) {
    entry->second.used_ = now;
    return entry->second.phase_ == CopyPhase::kResident
               ? AdapterState::kResident
               : AdapterState::kWaiting;
  }
  if (std::none_of(server.queue_.begin(), server.queue_.end(),
                   [&](const auto& item) { return item.first == adapter; })) {
    server.queue_.emplace_back(adapter, memory_mb);
  }
  return AdapterState::kWaiting;
}

auto AdapterSequencer::Send(const TargetId& target, const Server& server,
                            const AdapterId& adapter, Entry* entry,
                            TimePoint now) -> void {
  entry->sent_ = now;
  orders_.push_back({target, server.engine_, entry->order_,
                     entry->phase_ == CopyPhase::kLoading ? OrderKind::kLoad
                                                          : OrderKind::kUnload,
                     adapter, entry->memory_mb_});
}

auto AdapterSequencer::EvictOldest(const TargetId& target, Server* server,
                                   TimePoint now) -> bool {
  auto oldest = server->entries_.end();
  for (auto entry = server->entries_.begin(); entry != server->entries_.end();
       ++entry) {
    if (entry->second.phase_ == CopyPhase::kResident &&
        (oldest == server->entries_.end() ||
         entry->second.used_ < oldest->second.used_)) {
      oldest = entry;
    }
  }
  if (oldest == server->entries_.end()) {
    return false;
  }
  auto& entry = oldest->second;
  entry.phase_ = CopyPhase::kUnloading;
  entry.order_ = OrderId(instance_ + "/a" + std::to_string(next_id_++));
  Send(target, *server, oldest->first, &entry, now);
  return true;
}

auto AdapterSequencer::StartOne(const TargetId& target, Server* server,
                                TimePoint now) -> bool {
  const auto [adapter, memory] = server->queue_.front();
  if (server->entries_.contains(adapter) ||
      InFlightMb(*server) + memory > settings_.in_flight_mb_) {
    return false;
  }
  auto missing = Charged(*server) + memory - server->budget_mb_;
  for (const auto& [other, entry] : server->entries_) {
    missing -= entry.phase_ == CopyPhase::kUnloading ? entry.memory_mb_ : 0;
  }
  if (missing > 0) {
    EvictOldest(target, server, now);
  }
  if (Charged(*server) + memory > server->budget_mb_) {
    return false;  // Until reports prove that enough adapters are gone.
  }
  server->queue_.pop_front();
  auto& entry = server->entries_[adapter];
  entry = {CopyPhase::kLoading, memory, now,
           OrderId(instance_ + "/a" + std::to_string(next_id_++)), now};
  ++in_flight_;
  Send(target, *server, adapter, &entry, now);
  return true;
}

auto AdapterSequencer::StartQueued(const TargetId& target, Server* server,
                                   TimePoint now) -> void {
  while (!server->queue_.empty() && in_flight_ < share_ &&
         StartOne(target, server, now)) {
  }
}

auto AdapterSequencer::Resend(const TargetId& target, Server* server,
                              TimePoint now) -> void {
  for (auto& [adapter, entry] : server->entries_) {
    if (entry.phase_ != CopyPhase::kResident &&
        now >= entry.sent_ + settings_.resend_after_) {
      Send(target, *server, adapter, &entry, now);
    }
  }
}

auto AdapterSequencer::Tick(TimePoint now) -> void {
  CountInFlight();
  for (auto& [target, server] : servers_) {
    if (MayAct(server, now)) {
      Resend(target, &server, now);
      StartQueued(target, &server, now);
    }
  }
}

auto AdapterSequencer::CountInFlight() -> void {
  in_flight_ = 0;
  for (const auto& [target, server] : servers_) {
    in_flight_ += static_cast<std::size_t>(std::count_if(
        server.entries_.begin(), server.entries_.end(), [](const auto& entry) {
          return entry.second.phase_ == CopyPhase::kLoading;
        }));
  }
}

// Lists adapters that another sequencer loaded. One whose size is unknown here
// counts as the largest that may have been loaded.
auto AdapterSequencer::AddUnlisted(const AdapterReport& report, Server* server)
    -> void {
  for (const auto& adapter : report.resident_) {
    const auto size = sizes_.find(adapter);
    Entry entry;
    entry.phase_ = CopyPhase::kResident;
    entry.memory_mb_ =
        size == sizes_.end() ? settings_.in_flight_mb_ : size->second;
    server->entries_.try_emplace(adapter, std::move(entry));
  }
}

auto AdapterSequencer::OnReport(const AdapterReport& report, TimePoint asked_at)
    -> void {
  const auto found = servers_.find(report.target_);
  // Until its term is over a former sequencer may still load adapters.
  if (found == servers_.end() || report.engine_ == 0 ||
      asked_at < found->second.start_) {
    return;
  }
  auto& server = found->second;
  if (server.engine_ != 0 && server.engine_ != report.engine_) {
    // Orders are bound to a process, so none of them reaches the new one.
    server.former_mb_ = 0;
    server.entries_.clear();
  }
  server.engine_ = report.engine_;
  for (auto item = server.entries_.begin(); item != server.entries_.end();) {
    auto& [adapter, entry] = *item;
    const bool open = entry.phase_ != CopyPhase::kResident &&
                      !report.finished_.contains(entry.order_);
    if (open || report.resident_.contains(adapter)) {
      entry.phase_ = open ? entry.phase_ : CopyPhase::kResident;
      ++item;
    } else {
      item = server.entries_.erase(item);
    }
  }
  AddUnlisted(report, &server);
  CountInFlight();
}

}  // namespace baobab::placement
