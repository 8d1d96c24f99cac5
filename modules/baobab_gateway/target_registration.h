#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab::gateway {

/// A model in the accelerator memory of a target, with the adapters loaded for
/// it.
struct ResidentModel {
  std::string name_;
  std::vector<std::string> adapters_;
  auto operator==(const ResidentModel&) const -> bool = default;
};

/// State of a target that the target itself registers in the store.
struct TargetRegistration {
  std::string id_;
  std::string service_;
  TargetEndpoint endpoint_;
  std::string zone_;
  /// Version of its software, not of the weights. Streams go on only at targets
  /// of the version that began them.
  std::string software_version_;
  std::size_t slots_ = 1;
  bool draining_ = false;  ///< Takes no new requests and will exit.
  /// Time until the target exits, if it exits at short notice.
  std::optional<Duration> time_left_;
  std::int64_t orders_accepted_ = 0;
  std::int64_t start_time_ms_ = 0;  ///< Unix time of the start; 0 if unknown.
  std::vector<ResidentModel> models_;
  std::vector<std::string> models_in_host_memory_;
  std::vector<std::string> models_on_disk_;
};

}  // namespace baobab::gateway
