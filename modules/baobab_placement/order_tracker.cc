#include "baobab_placement/order_tracker.h"

#include <algorithm>

namespace baobab::placement {

OrderTracker::OrderTracker(std::string planner, std::uint64_t fence,
                           OrderTrackerSettings settings)
    : planner_(std::move(planner)), fence_(fence), settings_(settings) {}

auto OrderTracker::AddServer(ServerSpec spec) -> void {
  const auto target = spec.target_;
  servers_[target].spec_ = std::move(spec);
}

auto OrderTracker::Find(const TargetId& target) -> Server* {
  const auto found = servers_.find(target);
  return found == servers_.end() ? nullptr : &found->second;
}

auto OrderTracker::FindRecord(const TargetId& target) const
    -> const ServerRecord* {
  const auto found = servers_.find(target);
  return found == servers_.end() || !found->second.record_
             ? nullptr
             : &*found->second.record_;
}

auto OrderTracker::IsSettled(const TargetId& target) const -> bool {
  const auto found = servers_.find(target);
  return found != servers_.end() && found->second.fresh_ &&
         !found->second.pending_ && found->second.record_->engine_ != 0;
}

auto OrderTracker::NewId() -> std::string {
  return planner_ + "/" + std::to_string(next_id_++);
}

auto OrderTracker::Request(const PlanStep& step, TimePoint now) -> StepResult {
  auto* server = Find(step.target_);
  if (server == nullptr || !IsSettled(step.target_) || !store_available_) {
    return StepResult::kBusy;
  }
  return step.kind_ == OrderKind::kLoad ? RequestLoad(server, step, now)
                                        : RequestUnload(server, step, now);
}

auto OrderTracker::RequestLoad(Server* server, const PlanStep& step,
                               TimePoint now) -> StepResult {
  // An engine holds one version of a model, and unloads by name alone.
  if (server->record_->Lists(step.copy_.model_)) {
    return StepResult::kNoChange;
  }
  if (step.memory_mb_ > server->record_->FreeMb()) {
    return StepResult::kNoRoom;
  }
  auto record = *server->record_;
  record.copies_[step.copy_] = {
      *Advance(std::nullopt, CopyEvent::kLoadRecorded), step.memory_mb_,
      OutstandingOrder{OrderId(NewId()), OrderKind::kLoad, fence_}};
  Write(server, std::move(record), {}, now);
  return StepResult::kWriting;
}

auto OrderTracker::RequestUnload(Server* server, const PlanStep& step,
                                 TimePoint now) -> StepResult {
  auto record = *server->record_;
  const auto copy = record.copies_.find(step.copy_);
  if (copy == record.copies_.end() ||
      copy->second.phase_ != CopyPhase::kResident) {
    return StepResult::kNoChange;
  }
  std::vector<std::pair<TargetId, Revision>> guards;
  if (named_.contains(step.copy_.model_)) {
    const auto* keeper = FindKeeper(*server, step.copy_.model_);
    if (keeper == nullptr) {
      return StepResult::kLastCopy;
    }
    guards.emplace_back(keeper->spec_.target_, keeper->record_->revision_);
  }
  copy->second.phase_ =
      *Advance(copy->second.phase_, CopyEvent::kUnloadRecorded);
  copy->second.order_ =
      OutstandingOrder{OrderId(NewId()), OrderKind::kUnload, fence_};
  Write(server, std::move(record), std::move(guards), now);
  return StepResult::kWriting;
}

auto OrderTracker::FindKeeper(const Server& server, const ModelId& model) const
    -> const Server* {
  for (const auto& [target, other] : servers_) {
    if (target != server.spec_.target_ && other.live_ && other.fresh_ &&
        !other.pending_ && other.record_->Holds(model)) {
      return &other;
    }
  }
  return nullptr;
}

auto OrderTracker::Write(Server* server, ServerRecord record,
                         std::vector<std::pair<TargetId, Revision>> guards,
                         TimePoint now) -> void {
  record.write_id_ = NewId();
  record.fence_ = std::max(record.fence_, fence_);
  server->pending_guards_.clear();
  for (const auto& [target, revision] : guards) {
    server->pending_guards_.push_back(target);
  }
  server->pending_ = record;
  server->pending_since_ = now;
  actions_.emplace_back(WriteRecord{std::move(record), std::move(guards)});
}

auto OrderTracker::Read(Server* server, TimePoint now) -> void {
  server->reading_since_ = now;
  server->read_at_ = now;
  actions_.emplace_back(ReadRecord{server->spec_.target_});
}

auto OrderTracker::OnRecordRead(const TargetId& target,
                                std::optional<ServerRecord> record,
                                TimePoint now) -> void {
  store_available_ = true;
  auto* server = Find(target);
  if (server == nullptr || server->pending_ || !server->reading_since_) {
    return;
  }
  server->reading_since_.reset();
  const auto revision = record ? record->revision_ : 0;
  if (server->record_ && revision < server->record_->revision_) {
    Read(server, now);  // An answer to an earlier read.
    return;
  }
  Take(server, std::move(record), now);
}

auto OrderTracker::OnAllRecordsRead(std::vector<ServerRecord> records,
                                    TimePoint now) -> void {
  store_available_ = true;
  std::map<TargetId, ServerRecord> by_target;
  for (auto& record : records) {
    auto target = record.target_;
    by_target.emplace(std::move(target), std::move(record));
  }
  for (auto& [target, server] : servers_) {
    const auto found = by_target.find(target);
    const bool newer = found != by_target.end() &&
                       (!server.record_ ||
                        found->second.revision_ > server.record_->revision_);
    if (server.pending_ || server.reading_since_) {
      continue;
    }
    if (newer) {
      Take(&server, std::move(found->second), now);
    } else if (!server.record_) {
      Take(&server, std::nullopt, now);
    }
  }
}

auto OrderTracker::Take(Server* server, std::optional<ServerRecord> record,
                        TimePoint now) -> void {
  if (!record) {
    record = ServerRecord{};
    record->target_ = server->spec_.target_;
    record->adapter_budget_mb_ = server->spec_.adapter_budget_mb_;
    record->role_ = server->spec_.role_;
  }
  record->capacity_mb_ = server->spec_.capacity_mb_;
  server->record_ = std::move(record);
  server->fresh_ = true;
  SendDueOrders(server, now);
}

auto OrderTracker::OnReadLost(const TargetId& target, TimePoint /*now*/)
    -> void {
  store_available_ = false;
  if (auto* server = Find(target)) {
    server->reading_since_.reset();
  }
}

auto OrderTracker::OnWriteAnswer(const TargetId& target,
                                 const std::string& write_id,
                                 WriteAnswer answer, Revision revision,
                                 TimePoint now) -> void {
  store_available_ = answer != WriteAnswer::kLost;
  auto* server = Find(target);
  if (server == nullptr || !server->pending_ ||
      server->pending_->write_id_ != write_id) {
    return;
  }
  if (answer != WriteAnswer::kAccepted) {
    // The read that follows shows whether a lost write took effect.
    MarkLost(server);
    return;
  }
  server->record_ = std::exchange(server->pending_, std::nullopt);
  server->record_->revision_ = revision;
  SendDueOrders(server, now);
}

auto OrderTracker::MarkLost(Server* server) -> void {
  server->pending_.reset();
  server->fresh_ = false;
  server->reading_since_.reset();
  for (const auto& guard : server->pending_guards_) {
    if (auto* keeper = Find(guard); keeper != nullptr && !keeper->pending_) {
      keeper->fresh_ = false;
    }
  }
}

auto OrderTracker::OnOrderAnswer(const TargetId& target, const OrderId& order,
                                 OrderAnswer answer, TimePoint now) -> void {
  auto* server = Find(target);
  if (server == nullptr) {
    return;
  }
  const auto sent = server->sent_.find(order);
  if (sent != server->sent_.end()) {
    // A received order needs no second sending before its report is due; one
    // that was lost is sent again at the usual time, under the same id.
    sent->second = answer == OrderAnswer::kReceived ? now : sent->second;
  }
}

auto OrderTracker::OnReport(const ServerReport& report, std::uint64_t poll,
                            TimePoint now) -> void {
  auto* server = Find(report.target_);
  if (server == nullptr || !server->fresh_ || server->pending_ ||
      poll != server->poll_ || report.engine_ == 0 ||
      server->poll_revision_ != server->record_->revision_) {
    return;
  }
  server->poll_revision_ = -1;
  auto next =
      ApplyReport(*server->record_, report, server->spec_.honours_fence_);
  if (next != *server->record_) {
    Write(server, std::move(next), {}, now);
    return;
  }
  NoteRunning(server, report, now);
  SendDueOrders(server, now);
}

auto OrderTracker::NoteRunning(Server* server, const ServerReport& report,
                               TimePoint now) -> void {
  for (const auto& order : report.running_) {
    server->sent_[order] = now;
  }
  std::set<OrderId> outstanding;
  for (const auto& [key, copy] : server->record_->copies_) {
    if (copy.order_) {
      outstanding.insert(copy.order_->id_);
    }
  }
  std::erase_if(server->sent_, [&](const auto& entry) {
    return !outstanding.contains(entry.first);
  });
}

auto OrderTracker::SendDueOrders(Server* server, TimePoint now) -> void {
  const auto& record = *server->record_;
  if (!store_available_ || !server->fresh_ || server->pending_ ||
      record.engine_ == 0 || RaiseFences(server, now)) {
    return;
  }
  for (const auto& [key, copy] : record.copies_) {
    if (!copy.order_) {
      continue;
    }
    const auto sent = server->sent_.find(copy.order_->id_);
    if (sent != server->sent_.end() &&
        now < sent->second + settings_.resend_after_) {
      continue;
    }
    server->sent_[copy.order_->id_] = now;
    actions_.emplace_back(SendOrder{server->spec_.target_, record.engine_,
                                    *copy.order_, key, copy.memory_mb_});
  }
}

auto OrderTracker::RaiseFences(Server* server, TimePoint now) -> bool {
  // An engine that honours fences may have rejected the number in the record.
  // The raised number is recorded before it is used, or a report of a number
  // between the two would wrongly prove the order dead.
  if (!server->spec_.honours_fence_) {
    return false;
  }
  auto record = *server->record_;
  bool raised = false;
  for (auto& [key, copy] : record.copies_) {
    if (copy.order_ && copy.order_->fence_ < fence_) {
      copy.order_->fence_ = fence_;
      raised = true;
    }
  }
  if (raised) {
    Write(server, std::move(record), {}, now);
  }
  return raised;
}

auto OrderTracker::ExpireCalls(Server* server, TimePoint now) -> void {
  if (server->pending_ &&
      now >= server->pending_since_ + settings_.answer_timeout_) {
    store_available_ = false;
    MarkLost(server);
  }
  if (server->reading_since_ &&
      now >= *server->reading_since_ + settings_.answer_timeout_) {
    store_available_ = false;
    server->reading_since_.reset();
  }
}

auto OrderTracker::TickServer(Server* server, TimePoint now) -> void {
  ExpireCalls(server, now);
  if (server->pending_ || server->reading_since_) {
    return;
  }
  if (!server->fresh_) {
    if (!server->record_) {
      return;  // The next read of all records brings it.
    }
    if (!server->read_at_ || store_available_ ||
        now >= *server->read_at_ + settings_.answer_timeout_) {
      Read(server, now);
    }
    return;
  }
  const auto& copies = server->record_->copies_;
  const bool busy =
      server->record_->engine_ == 0 ||
      std::any_of(copies.begin(), copies.end(), [](const auto& entry) {
        return entry.second.order_.has_value();
      });
  const bool polling = server->poll_revision_ == server->record_->revision_;
  auto interval = busy ? settings_.busy_poll_ : settings_.idle_poll_;
  if (polling) {
    interval = std::max(interval, settings_.answer_timeout_);
  }
  if (now >= server->polled_at_ + interval || server->poll_ == 0) {
    server->polled_at_ = now;
    server->poll_revision_ = server->record_->revision_;
    actions_.emplace_back(PollReport{server->spec_.target_, ++server->poll_});
  }
}

auto OrderTracker::Tick(TimePoint now) -> void {
  const bool starting =
      std::any_of(servers_.begin(), servers_.end(),
                  [](const auto& entry) { return !entry.second.record_; });
  const auto interval =
      starting ? settings_.answer_timeout_ : settings_.read_all_;
  if (!read_all_at_ || now >= *read_all_at_ + interval) {
    read_all_at_ = now;
    actions_.emplace_back(ReadAllRecords{});
  }
  for (auto& [target, server] : servers_) {
    TickServer(&server, now);
  }
}

}  // namespace baobab::placement
