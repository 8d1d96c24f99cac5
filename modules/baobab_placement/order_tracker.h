#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_placement/copy_lifecycle.h"
#include "baobab_placement/placement_actions.h"
#include "baobab_placement/server_record.h"

namespace baobab::placement {

/// A model server as the settings describe it.
struct ServerSpec {
  TargetId target_;
  std::int64_t capacity_mb_ = 0;
  std::int64_t adapter_budget_mb_ = 0;
  std::string role_;
  bool honours_fence_ = false;  ///< Rejects orders with a lower fence.
};

/// Intervals of the tracker.
struct OrderTrackerSettings {
  /// Time after which a read, a write or a poll counts as lost.
  Duration answer_timeout_ = std::chrono::milliseconds(500);
  /// Time after which an order that no report mentions is sent again.
  Duration resend_after_ = std::chrono::seconds(1);
  /// Interval of reports while orders are outstanding, and without any.
  Duration busy_poll_ = std::chrono::milliseconds(200);
  Duration idle_poll_ = std::chrono::seconds(2);
  /// Interval of reading all records, which shows what other planners wrote.
  Duration read_all_ = std::chrono::seconds(5);
};

/// Whether a step was taken up.
enum class StepResult : std::uint8_t {
  kWriting,   ///< A write was returned as an action.
  kBusy,      ///< The server's record is not settled; try again later.
  kNoRoom,    ///< The copy would not fit beside what is counted.
  kLastCopy,  ///< No other proven copy of a named model is known.
  kNoChange,  ///< The copy is already there, or not there.
};

/// Carries plan steps out so that an engine's memory is never overcommitted:
/// the record is written by compare-and-swap before an order is sent, and the
/// memory stays in the record until a report proves how the order ended.
///
/// Any number of trackers may act on the same servers; the compare-and-swap
/// alone decides. A tracker keeps no state that must survive it.
///
/// Unloading a copy of a named model is conditional on the record of another
/// server that holds the model, so that two planners cannot each remove the
/// copy on which the other relies.
class OrderTracker {
 public:
  /// `planner` makes order and write ids unique and must differ for each
  /// tracker ever made; `fence` must rise with each term of office.
  OrderTracker(std::string planner, std::uint64_t fence,
               OrderTrackerSettings settings);

  /// Adds a server, whose record is read at the next Tick.
  auto AddServer(ServerSpec spec) -> void;

  /// Forgets a server. Its record stays in the store.
  auto RemoveServer(const TargetId& target) -> void { servers_.erase(target); }

  /// Sets whether a server can be reached. A copy on one that cannot does not
  /// count as the other copy of a model that is to be unloaded elsewhere.
  auto SetLive(const TargetId& target, bool live) -> void {
    if (auto* server = Find(target)) {
      server->live_ = live;
    }
  }

  /// Sets the models that contracts name.
  auto SetNamedModels(std::set<ModelId> named) -> void {
    named_ = std::move(named);
  }

  /// Starts `step` if the record, as last read, allows it.
  [[nodiscard]] auto Request(const PlanStep& step, TimePoint now) -> StepResult;

  /// Takes the record of `target`, or an empty optional if there is none.
  auto OnRecordRead(const TargetId& target, std::optional<ServerRecord> record,
                    TimePoint now) -> void;
  /// Takes the records of all servers; a server without one has none.
  auto OnAllRecordsRead(std::vector<ServerRecord> records, TimePoint now)
      -> void;
  /// A read of one record had no answer.
  auto OnReadLost(const TargetId& target, TimePoint now) -> void;
  /// Takes the outcome of a write; `revision` is set if it was accepted.
  auto OnWriteAnswer(const TargetId& target, const std::string& write_id,
                     WriteAnswer answer, Revision revision, TimePoint now)
      -> void;
  /// Takes the answer to an order.
  auto OnOrderAnswer(const TargetId& target, const OrderId& order,
                     OrderAnswer answer, TimePoint now) -> void;
  /// Takes the answer to a poll. A report that was asked for before the record
  /// took its present revision is dropped: it may be of an older process.
  auto OnReport(const ServerReport& report, std::uint64_t poll, TimePoint now)
      -> void;

  /// Reads, polls and sends again what is due. Call every few 100 ms.
  auto Tick(TimePoint now) -> void;

  /// Returns the actions since the last call, in order.
  [[nodiscard]] auto TakeActions() -> std::vector<PlacementAction> {
    return std::exchange(actions_, {});
  }

  /// The record of `target` as last read or written; null if unknown.
  [[nodiscard]] auto FindRecord(const TargetId& target) const
      -> const ServerRecord*;

  /// Returns true if no write or read of `target` is unresolved and an engine
  /// has reported.
  [[nodiscard]] auto IsSettled(const TargetId& target) const -> bool;

  /// Returns false after a store call without an answer, until the next answer.
  [[nodiscard]] auto store_available() const -> bool {
    return store_available_;
  }

 private:
  struct Server {
    ServerSpec spec_;
    bool live_ = true;
    std::optional<ServerRecord> record_;  ///< Empty before the first read.
    bool fresh_ = false;  ///< False if the store may hold a later record.
    std::optional<ServerRecord> pending_;  ///< Write in flight.
    std::vector<TargetId> pending_guards_;
    TimePoint pending_since_{};
    std::optional<TimePoint> reading_since_;
    std::optional<TimePoint> read_at_;  ///< Start of the last read.
    std::uint64_t poll_ = 0;
    Revision poll_revision_ = -1;  ///< -1 if no poll is in flight.
    TimePoint polled_at_{};
    std::map<OrderId, TimePoint> sent_;
  };

  auto RequestLoad(Server* server, const PlanStep& step, TimePoint now)
      -> StepResult;
  auto RequestUnload(Server* server, const PlanStep& step, TimePoint now)
      -> StepResult;
  [[nodiscard]] auto FindKeeper(const Server& server,
                                const ModelId& model) const -> const Server*;
  auto NewId() -> std::string;
  auto Write(Server* server, ServerRecord record,
             std::vector<std::pair<TargetId, Revision>> guards, TimePoint now)
      -> void;
  auto Read(Server* server, TimePoint now) -> void;
  auto Take(Server* server, std::optional<ServerRecord> record, TimePoint now)
      -> void;
  auto SendDueOrders(Server* server, TimePoint now) -> void;
  auto RaiseFences(Server* server, TimePoint now) -> bool;
  auto TickServer(Server* server, TimePoint now) -> void;
  auto ExpireCalls(Server* server, TimePoint now) -> void;
  auto MarkLost(Server* server) -> void;
  auto NoteRunning(Server* server, const ServerReport& report, TimePoint now)
      -> void;
  auto Find(const TargetId& target) -> Server*;

  std::string planner_;
  std::uint64_t fence_;
  OrderTrackerSettings settings_;
  std::set<ModelId> named_;
  std::map<TargetId, Server> servers_;
  std::uint64_t next_id_ = 0;
  bool store_available_ = true;
  std::optional<TimePoint> read_all_at_;
  std::vector<PlacementAction> actions_;
};

/// Returns `record` with everything applied that `report` proves. The report
/// must have been asked for after the record took its present revision.
[[nodiscard]] auto ApplyReport(const ServerRecord& record,
                               const ServerReport& report, bool honours_fence)
    -> ServerRecord;

}  // namespace baobab::placement
