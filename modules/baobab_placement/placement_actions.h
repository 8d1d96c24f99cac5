#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_placement/server_record.h"

namespace baobab::placement {

/// What one engine process says of itself. All fields are of one moment,
/// which may lie before the answer, but never before the process started.
struct ServerReport {
  TargetId target_;
  Incarnation engine_ = 0;
  std::uint64_t fence_ = 0;  ///< Highest fencing number seen.
  std::int64_t capacity_mb_ = 0;
  std::map<CopyKey, std::int64_t> contents_;  ///< Loaded copies and MB.
  std::set<OrderId> running_;                 ///< Received and not ended.
  std::set<OrderId> finished_;                ///< Ended, well or not.
};

/// One change of contents that a plan asks for.
struct PlanStep {
  OrderKind kind_ = OrderKind::kLoad;
  TargetId target_;
  CopyKey copy_;
  std::int64_t memory_mb_ = 0;  ///< Memory of a load; ignored for an unload.
  auto operator==(const PlanStep&) const -> bool = default;
};

/// Read the record of a server, then call OnRecordRead or OnReadLost.
struct ReadRecord {
  TargetId target_;
};

/// Read the records of all servers with one range request, then call
/// OnAllRecordsRead. Nothing is to be done if there is no answer.
struct ReadAllRecords {};

/// Write `record_` in one store transaction, on condition that the key still
/// has `record_.revision_` and each key of `guards_` its revision. Then call
/// OnWriteAnswer with `record_.write_id_`.
struct WriteRecord {
  ServerRecord record_;
  std::vector<std::pair<TargetId, Revision>> guards_;
};

/// Send an order to the engine process `engine_`. The connection must be one
/// on which this process has identified itself by a report, and must not be
/// opened again for the order: a later process would not count it.
struct SendOrder {
  TargetId target_;
  Incarnation engine_ = 0;
  OutstandingOrder order_;
  CopyKey copy_;
  std::int64_t memory_mb_ = 0;
};

/// Ask the engine for its report, then call OnReport with `poll_`. The request
/// must not leave before this action was returned.
struct PollReport {
  TargetId target_;
  std::uint64_t poll_ = 0;
};

using PlacementAction = std::variant<ReadRecord, ReadAllRecords, WriteRecord,
                                     SendOrder, PollReport>;

/// Outcome of a store transaction.
enum class WriteAnswer : std::uint8_t { kAccepted, kConflict, kLost };

/// Answer of an engine to an order; says nothing of how the order ends.
enum class OrderAnswer : std::uint8_t { kReceived, kRejected, kLost };

}  // namespace baobab::placement
