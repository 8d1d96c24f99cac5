#include "tools/placement_bench/store_writes.h"

#include <chrono>
#include <string>
#include <variant>

#include "baobab_placement/order_tracker.h"

namespace baobab::placement::bench {
namespace {

constexpr std::int64_t kMemoryMb = 100;

/// One engine and a store that answer at once.
class Loop {
 public:
  Loop() : tracker_("bench", 1, {}) {
    tracker_.AddServer({TargetId("s"), kMemoryMb, 0, "", false});
    report_.target_ = TargetId("s");
    report_.engine_ = 1;
  }

  auto Settle() -> void {
    for (int i = 0; i < 20; ++i) {
      now_ += std::chrono::milliseconds(250);
      tracker_.Tick(now_);
      for (auto actions = tracker_.TakeActions(); !actions.empty();
           actions = tracker_.TakeActions()) {
        for (const auto& action : actions) {
          Perform(action);
        }
      }
    }
  }

  auto Replace(const std::string& old_model, const std::string& new_model)
      -> void {
    static_cast<void>(tracker_.Request(
        {OrderKind::kUnload, TargetId("s"), {ModelId(old_model), "1"}, 0},
        now_));
    Settle();
    static_cast<void>(tracker_.Request(
        {OrderKind::kLoad, TargetId("s"), {ModelId(new_model), "1"}, 60},
        now_));
    Settle();
  }

  [[nodiscard]] auto writes() const -> int { return writes_; }

 private:
  auto Perform(const PlacementAction& action) -> void {
    if (std::holds_alternative<ReadAllRecords>(action)) {
      tracker_.OnAllRecordsRead({}, now_);
    } else if (const auto* write = std::get_if<WriteRecord>(&action)) {
      ++writes_;
      tracker_.OnWriteAnswer(write->record_.target_, write->record_.write_id_,
                             WriteAnswer::kAccepted, ++revision_, now_);
    } else if (const auto* order = std::get_if<SendOrder>(&action)) {
      report_.finished_.insert(order->order_.id_);
      if (order->order_.kind_ == OrderKind::kLoad) {
        report_.contents_[order->copy_] = order->memory_mb_;
      } else {
        report_.contents_.erase(order->copy_);
      }
    } else if (const auto* poll = std::get_if<PollReport>(&action)) {
      tracker_.OnReport(report_, poll->poll_, now_);
    }
  }

  OrderTracker tracker_;
  ServerReport report_;
  TimePoint now_{};
  Revision revision_ = 0;
  int writes_ = 0;
};

}  // namespace

auto StoreWritesPerReplacement() -> double {
  constexpr int kReplacements = 10;
  Loop loop;
  loop.Settle();
  loop.Replace("none", "m0");
  const auto before = loop.writes();
  for (int i = 0; i < kReplacements; ++i) {
    loop.Replace("m" + std::to_string(i), "m" + std::to_string(i + 1));
  }
  return static_cast<double>(loop.writes() - before) / kReplacements;
}

}  // namespace baobab::placement::bench
