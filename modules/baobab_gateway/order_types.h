#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobab_gateway/target_registration.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab::gateway {

/// The operation that an order requests from an engine.
enum class OrderKind : std::uint8_t { kLoad, kUnload };

/// An order to load or unload a model or an adapter.
struct EngineOrder {
  std::string target_;
  TargetEndpoint endpoint_;
  OrderKind kind_ = OrderKind::kLoad;
  std::string model_;
  std::string adapter_;  ///< Empty if the order is for the model itself.
  std::string holder_;   ///< The instance that sends the order.
  std::int64_t fencing_token_ = 0;
  /// Number of orders that the engine must have accepted before; checked when
  /// the order is carried out.
  std::optional<std::int64_t> expected_sequence_;
};

/// An engine's response to an order.
enum class OrderResult : std::uint8_t {
  kAccepted,                ///< The order is in progress.
  kAlreadyInEffect,         ///< Already in effect, or carried out at once.
  kBusyOrSequenceMismatch,  ///< Another order is in progress, or the number of
                            ///< accepted orders differs from the expected one.
  kFenced,    ///< A holder with a higher fencing token sent an order.
  kRejected,  ///< The order was rejected or not sent; it has no effect.
  kUnknown,   ///< No response; the order may be carried out later.
};

/// The state that an engine reports.
struct EngineReport {
  std::vector<ResidentModel> models_;
  bool busy_ = false;  ///< An order for a model is in progress.
  /// Number of orders accepted since the engine started.
  std::int64_t orders_accepted_ = 0;
  /// Start of the engine in ms of Unix time; 0 if not stated.
  std::int64_t start_time_ms_ = 0;
};

}  // namespace baobab::gateway
