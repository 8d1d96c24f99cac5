#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_placement/server_record.h"

namespace baobab::placement {

/// Settings of AdapterSequencer.
struct AdapterSequencerSettings {
  /// Time that a sequencer may act after it last saw itself in the record.
  Duration term_ = std::chrono::seconds(2);
  /// Time that a new sequencer waits before its first order: the term and a
  /// tenth, for clocks of different speed.
  Duration takeover_ = std::chrono::milliseconds(2200);
  Duration resend_after_ = std::chrono::milliseconds(500);
  /// Most memory of orders in flight per server. A former sequencer that was
  /// paused between its check and its order can exceed its term by this much.
  std::int64_t in_flight_mb_ = 500;
};

/// Whether an adapter can be used.
enum class AdapterState : std::uint8_t {
  kResident,  ///< Reported by the engine.
  kWaiting,   ///< Its load is sent or queued.
  kNoRoom,    ///< Larger than the budget or than what may be in flight.
  kElsewhere  ///< This instance is not the sequencer of the server.
};

/// An adapter order to an engine, under the same rules of connection as
/// SendOrder.
struct AdapterOrder {
  TargetId target_;
  Incarnation engine_ = 0;
  OrderId id_;
  OrderKind kind_ = OrderKind::kLoad;
  AdapterId adapter_;
  std::int64_t memory_mb_ = 0;
};

/// What an engine reports of its adapters.
struct AdapterReport {
  TargetId target_;
  Incarnation engine_ = 0;
  std::set<AdapterId> resident_;
  std::set<OrderId> finished_;
};

/// Loads and unloads adapters on demand within the budget that server records
/// reserve, without a store write. One instance sequences the orders of a
/// server. At most `share` loads are in flight over all its servers; the shares
/// of all instances add up to 50, beyond which loads slow each other down.
class AdapterSequencer {
 public:
  /// `instance` makes order ids unique and must differ for each process.
  AdapterSequencer(std::string instance, AdapterSequencerSettings settings)
      : instance_(std::move(instance)), settings_(settings) {}

  /// Sets how many loads this instance may have in flight.
  auto SetShare(std::size_t share) -> void { share_ = share; }

  /// The record names this instance as sequencer of `target`, as read from the
  /// store by a request that left at `asked_at`. Call for every such read.
  auto Confirm(const TargetId& target, std::int64_t budget_mb,
               TimePoint asked_at) -> void;
  /// The record names another instance.
  auto Release(const TargetId& target) -> void { servers_.erase(target); }
  /// The former sequencer cannot send any more: its process ended.
  auto FormerEnded(const TargetId& target) -> void;

  /// Asks for an adapter of `memory_mb` on `target`, and marks it as used now.
  auto Need(const TargetId& target, const AdapterId& adapter,
            std::int64_t memory_mb, TimePoint now) -> AdapterState;

  /// Takes a report that was asked for at `asked_at`. Reports of one server
  /// must come in the order in which they were asked for, one at a time.
  auto OnReport(const AdapterReport& report, TimePoint asked_at) -> void;

  /// Sends what is due. Call after Need, OnReport and every few 10 ms.
  auto Tick(TimePoint now) -> void;

  /// Returns the orders since the last call.
  [[nodiscard]] auto TakeOrders() -> std::vector<AdapterOrder> {
    return std::exchange(orders_, {});
  }

  /// Loads in flight over all servers.
  [[nodiscard]] auto in_flight() const -> std::size_t { return in_flight_; }

  /// Memory of `target` that adapters and outstanding orders may take, in MB.
  [[nodiscard]] auto ChargedMb(const TargetId& target) const -> std::int64_t;

 private:
  struct Entry {
    CopyPhase phase_ = CopyPhase::kLoading;
    std::int64_t memory_mb_ = 0;
    TimePoint used_{};
    OrderId order_;
    TimePoint sent_{};
  };
  struct Server {
    std::int64_t budget_mb_ = 0;
    TimePoint confirmed_{};
    TimePoint start_{};           ///< First order not before this.
    std::int64_t former_mb_ = 0;  ///< Possible late order of a predecessor.
    Incarnation engine_ = 0;      ///< 0 before the first report.
    std::map<AdapterId, Entry> entries_;
    std::deque<std::pair<AdapterId, std::int64_t>> queue_;
  };

  [[nodiscard]] auto MayAct(const Server& server, TimePoint now) const -> bool {
    return server.engine_ != 0 && now >= server.start_ &&
           now < server.confirmed_ + settings_.term_;
  }
  [[nodiscard]] static auto Charged(const Server& server) -> std::int64_t;
  [[nodiscard]] static auto InFlightMb(const Server& server) -> std::int64_t;
  auto StartQueued(const TargetId& target, Server* server, TimePoint now)
      -> void;
  auto StartOne(const TargetId& target, Server* server, TimePoint now) -> bool;
  auto EvictOldest(const TargetId& target, Server* server, TimePoint now)
      -> bool;
  auto Send(const TargetId& target, const Server& server,
            const AdapterId& adapter, Entry* entry, TimePoint now) -> void;
  auto Resend(const TargetId& target, Server* server, TimePoint now) -> void;
  auto AddUnlisted(const AdapterReport& report, Server* server) -> void;
  auto CountInFlight() -> void;

  std::string instance_;
  AdapterSequencerSettings settings_;
  std::size_t share_ = 0;
  std::size_t in_flight_ = 0;
  std::uint64_t next_id_ = 0;
  std::map<TargetId, Server> servers_;
  std::map<AdapterId, std::int64_t> sizes_;
  std::vector<AdapterOrder> orders_;
};

}  // namespace baobab::placement
