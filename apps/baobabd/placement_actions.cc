#include <utility>
#include <variant>

#include "baobab_base/log.h"
#include "baobab_base/step_error.h"
#include "placement_duty.h"

namespace baobab {
namespace {

constexpr auto kPrefix = "/baobab/servers/";

auto KeyOf(const TargetId& target) -> std::string {
  return kPrefix + target.value();
}

auto ParseRecord(const platform::StoredValue& stored)
    -> std::optional<placement::ServerRecord> {
  try {
    return placement::ServerRecord::Parse(stored.value_, stored.mod_revision_);
  } catch (const StepError& error) {
    LogEvent(LogLevel::kError, "server_record_malformed")
        .With("key", stored.key_)
        .With("reason", error.what());
    return std::nullopt;
  }
}

auto ToAnswer(const platform::WriteResult& result) -> placement::WriteAnswer {
  if (result.effect_ == platform::Effect::kTookEffect) {
    return placement::WriteAnswer::kAccepted;
  }
  return result.compare_failed_ ? placement::WriteAnswer::kConflict
                                : placement::WriteAnswer::kLost;
}

}  // namespace

auto PlacementDuty::PerformActions() -> void {
  for (const auto& action : tracker_->TakeActions()) {
    std::visit([this](const auto& value) { Perform(value); }, action);
  }
}

auto PlacementDuty::Perform(const placement::ReadRecord& read) -> void {
  store_.Read(KeyOf(read.target_),
              [this, alive = alive_, term = term_,
               target = read.target_](const platform::ReadResult& result) {
                if (!*alive || !IsTerm(term)) {
                  return;
                }
                const auto now = clock_.Now();
                if (result.failure_) {
                  tracker_->OnReadLost(target, now);
                } else if (result.values_.empty()) {
                  tracker_->OnRecordRead(target, std::nullopt, now);
                } else if (auto record = ParseRecord(result.values_.front())) {
                  tracker_->OnRecordRead(target, std::move(record), now);
                }
                PerformActions();
              });
}

auto PlacementDuty::Perform(const placement::ReadAllRecords& /*read*/) -> void {
  store_.ReadPrefix(kPrefix, [this, alive = alive_, term = term_](
                                 const platform::ReadResult& result) {
    if (!*alive || !IsTerm(term) || result.failure_) {
      return;
    }
    std::vector<placement::ServerRecord> records;
    for (const auto& stored : result.values_) {
      auto record = ParseRecord(stored);
      if (!record) {
        return;  // Must not look like a server without a record.
      }
      records.push_back(std::move(*record));
    }
    tracker_->OnAllRecordsRead(std::move(records), clock_.Now());
    PerformActions();
  });
}

auto PlacementDuty::Perform(const placement::WriteRecord& write) -> void {
  std::vector<platform::KeyRevision> guards;
  for (const auto& [target, revision] : write.guards_) {
    guards.push_back({KeyOf(target), revision});
  }
  const auto& record = write.record_;
  store_.GuardedSwap(
      KeyOf(record.target_), record.revision_, record.ToText(), guards,
      [this, alive = alive_, term = term_, target = record.target_,
       id = record.write_id_](const platform::WriteResult& result) {
        if (!*alive || !IsTerm(term)) {
          return;
        }
        tracker_->OnWriteAnswer(target, id, ToAnswer(result), result.revision_,
                                clock_.Now());
        PerformActions();
      });
}

auto PlacementDuty::Perform(const placement::SendOrder& order) -> void {
  const auto engine = engines_.find(order.target_);
  if (engine == engines_.end()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "order_sent")
      .With("order", order.order_.id_.value())
      .With("target", order.target_.value())
      .With("kind", placement::ToString(order.order_.kind_))
      .With("model", order.copy_.model_.value());
  engine->second.channel_->Send(
      order, [this, alive = alive_, term = term_, target = order.target_,
              id = order.order_.id_](placement::OrderAnswer answer) {
        if (*alive && IsTerm(term)) {
          tracker_->OnOrderAnswer(target, id, answer, clock_.Now());
          PerformActions();
        }
      });
}

auto PlacementDuty::Perform(const placement::PollReport& poll) -> void {
  const auto engine = engines_.find(poll.target_);
  if (engine == engines_.end()) {
    return;
  }
  engine->second.channel_->Poll(
      [this, alive = alive_, term = term_,
       poll](std::optional<placement::ServerReport> report) {
        if (!*alive || !IsTerm(term)) {
          return;
        }
        if (report) {
          if (const auto found = engines_.find(poll.target_);
              found != engines_.end()) {
            found->second.reported_at_ = clock_.Now();
          }
          tracker_->OnReport(*report, poll.poll_, clock_.Now());
          PerformActions();
        }
      });
}

}  // namespace baobab
