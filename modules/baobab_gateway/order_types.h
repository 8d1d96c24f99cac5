#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobab_gateway/target_registration.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab::gateway {

/// What an order asks of an engine.
enum class OrderKind : std::uint8_t { kLoad, kUnload };

/// An order to load or unload a model or an adapter.
struct EngineOrder {
  std::string target_;
  TargetEndpoint endpoint_;
  OrderKind kind_ = OrderKind::kLoad;
  std::string model_;
  std::string adapter_;  ///< Empty: the model itself.
  std::string holder_;   ///< The instance that gives orders.
  std::int64_t fencing_token_ = 0;
  /// Orders that the engine must have accepted before; checked when the order
  /// is carried out.
  std::optional<std::int64_t> expected_sequence_;
};

/// What an engine says of an order.
enum class OrderResult : std::uint8_t {
  kAccepted,         ///< It is being carried out.
  kHolds,            ///< It already holds, or was carried out at once.
  kBusyOrOutOfDate,  ///< Another order is in progress, or the count differs.
  kFenced,           ///< A holder with a higher fencing token has ordered.
  kRejected,         ///< It cannot be carried out.
  kUnknown,          ///< No response; it may be carried out later.
};

/// An engine's report of itself.
struct EngineReport {
  std::vector<ResidentModel> models_;
  bool busy_ = false;  ///< An order for a model is in progress.
  std::int64_t orders_accepted_ = 0;
  std::int64_t born_ms_ = 0;  ///< Unix time of its start; 0 if not stated.
};

}  // namespace baobab::gateway
