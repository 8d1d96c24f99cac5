#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "baobab_base/strong_id.h"

namespace baobab::placement {

/// Identifies one order to one engine; unique over all planners.
using OrderId = StrongId<struct OrderTag>;

/// What an order asks of an engine.
enum class OrderKind : std::uint8_t { kLoad, kUnload };

/// Returns "load" or "unload".
[[nodiscard]] auto ToString(OrderKind kind) -> std::string_view;

/// Phase of a copy that a record lists. A copy that is not listed is absent.
enum class CopyPhase : std::uint8_t {
  kLoading,    ///< A load is recorded and not yet proven to have ended.
  kResident,   ///< A report proved that the copy is loaded.
  kUnloading,  ///< An unload is recorded and not yet proven to have ended.
};

/// Returns "loading", "resident" or "unloading".
[[nodiscard]] auto ToString(CopyPhase phase) -> std::string_view;

/// One version of one model. A server holds at most one version of a model.
struct CopyKey {
  ModelId model_;
  std::string version_;
  auto operator<=>(const CopyKey&) const = default;
};

/// An order that may reach the engine now or later.
struct OutstandingOrder {
  OrderId id_;
  OrderKind kind_ = OrderKind::kLoad;
  std::uint64_t fence_ = 0;  ///< Highest fencing number it was sent with.
  auto operator==(const OutstandingOrder&) const -> bool = default;
};

/// A copy whose memory the record counts. At most one order per copy is
/// outstanding, so that a finished order proves the state of its copy.
struct ModelCopy {
  CopyPhase phase_ = CopyPhase::kLoading;
  std::int64_t memory_mb_ = 0;
  std::optional<OutstandingOrder> order_;
  auto operator==(const ModelCopy&) const -> bool = default;
};

/// Intended contents and outstanding orders of one model server, as stored in
/// the configuration service under `/baobab/servers/<target>`. Memory is in MB.
struct ServerRecord {
  TargetId target_;
  std::int64_t capacity_mb_ = 0;
  std::int64_t adapter_budget_mb_ = 0;  ///< Reserved for adapters.
  std::string role_;                    ///< Role of the engine, or empty.
  Incarnation engine_ = 0;   ///< Engine process that holds the copies; 0 if
                             ///< none has reported.
  std::uint64_t fence_ = 0;  ///< Highest fencing number of a planner.
  InstanceId sequencer_;     ///< Instance that sends the adapter orders.
  std::string write_id_;     ///< Unique per write; resolves lost responses.
  std::map<CopyKey, ModelCopy> copies_;
  Revision revision_ = 0;  ///< Store revision; not part of the text. 0 if the
                           ///< key does not exist.

  auto operator==(const ServerRecord&) const -> bool = default;

  /// Memory that adapters, resident copies and outstanding orders may take.
  [[nodiscard]] auto ChargedMb() const -> std::int64_t;

  /// Memory that a new load may take. Negative if the capacity was lowered.
  [[nodiscard]] auto FreeMb() const -> std::int64_t {
    return capacity_mb_ - ChargedMb();
  }

  /// Returns true if a proven copy of any version of `model` is listed with no
  /// unload outstanding.
  [[nodiscard]] auto Holds(const ModelId& model) const -> bool;

  /// Returns true if any version of `model` is listed in any phase.
  [[nodiscard]] auto Lists(const ModelId& model) const -> bool;

  /// Returns the canonical JSON text: equal records give equal text.
  [[nodiscard]] auto ToText() const -> std::string;

  /// Reads what ToText() wrote. Throws StepError if `text` is malformed.
  [[nodiscard]] static auto Parse(std::string_view text, Revision revision)
      -> ServerRecord;
};

}  // namespace baobab::placement
