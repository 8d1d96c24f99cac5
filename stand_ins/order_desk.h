#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "stand_ins/memory_account.h"
#include "stand_ins/weight_store.h"

namespace baobab::stand_in {

/// One order to the engine, as in `POST /admin/orders`.
struct Order {
  std::string order_id_;
  std::int64_t fence_ = 0;
  std::string kind_;
  std::string model_;  ///< Model, or the request id of a cancel.
  std::string adapter_;
  std::string version_;
  std::string role_;
  std::int64_t memory_mb_ = 0;
};

/// What the engine answered to an order.
enum class OrderAnswer : std::uint8_t { kAccepted, kDuplicate, kStaleFence };

/// How an order ended.
struct FinishedOrder {
  std::string order_id_;
  bool ok_ = false;
  std::string reason_;
};

/// One version of one model.
struct CopyName {
  std::string model_;
  std::string version_;
  auto operator<=>(const CopyName&) const = default;
};

/// A model copy in memory.
struct Copy {
  std::int64_t memory_mb_ = 0;
  std::string state_;  ///< loading, loaded or unloading.
};

/// Executes orders: takes memory when a load starts, releases it when an
/// unload ends, and records how each order ended.
class OrderDesk {
 public:
  OrderDesk(std::int64_t memory_mb, bool honours_fence, WeightStore& weights)
      : memory_(memory_mb), honours_fence_(honours_fence), weights_(weights) {}

  /// Puts a model in memory at once.
  auto Preload(const std::string& model, std::int64_t memory_mb) -> void {
    models_[{model, "1"}] = {memory_mb, "loaded"};
    memory_.Allocate("model/" + model + "@1", memory_mb);
  }

  /// Accepts `order`, to be started at `start`.
  auto Accept(const Order& order, TimePoint start) -> OrderAnswer;

  /// Starts and ends the orders that are due. Returns the models that were
  /// removed from memory.
  auto Advance(TimePoint now) -> std::vector<std::string>;

  /// Returns when the next order is due, if any is outstanding.
  [[nodiscard]] auto NextDue() const -> std::optional<TimePoint>;

  /// Returns true if `model` is loaded, in any version.
  [[nodiscard]] auto Holds(const std::string& model) const -> bool;

  /// Returns true if `adapter` is loaded.
  [[nodiscard]] auto HoldsAdapter(const std::string& adapter) const -> bool;

  /// Copies by model and version.
  [[nodiscard]] auto models() const -> const std::map<CopyName, Copy>& {
    return models_;
  }

  /// Loaded adapters.
  [[nodiscard]] auto adapters() const -> const std::set<std::string>& {
    return adapters_;
  }

  /// The last finished orders, oldest first.
  [[nodiscard]] auto finished() const -> const std::deque<FinishedOrder>& {
    return finished_;
  }

  /// Highest fencing number seen.
  [[nodiscard]] auto fence() const -> std::int64_t { return fence_; }

  /// Role of the engine: both, prefill or decode.
  [[nodiscard]] auto role() const -> const std::string& { return role_; }

  /// Memory of models and adapters.
  [[nodiscard]] auto memory() const -> const MemoryAccount& { return memory_; }

  /// Ids of the orders accepted but not finished.
  [[nodiscard]] auto Outstanding() const -> std::vector<std::string>;

 private:
  auto Start(const Order& order, TimePoint now) -> void;
  auto End(const Order& order, std::vector<std::string>& removed) -> void;
  auto Finish(const Order& order, bool ok, const std::string& reason) -> void;
  auto StartModel(const Order& order, TimePoint now) -> void;
  auto StartUnload(const Order& order, TimePoint now) -> void;
  auto EndVersionChange(const Order& order) -> void;
  auto Remove(const CopyName& copy, std::vector<std::string>* removed) -> void;

  MemoryAccount memory_;
  bool honours_fence_;
  WeightStore& weights_;
  std::int64_t fence_ = 0;
  std::string role_ = "both";
  std::set<std::string> seen_;
  std::multimap<TimePoint, Order> starting_;
  std::multimap<TimePoint, Order> ending_;
  std::map<CopyName, Copy> models_;
  std::set<std::string> adapters_;
  std::deque<FinishedOrder> finished_;
};

}  // namespace baobab::stand_in
