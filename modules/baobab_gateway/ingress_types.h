#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "baobab_base/time_types.h"
#include "baobab_gateway/work_item.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab::gateway {

/// Fields of a caller's request that the gateway evaluates. The rest of the
/// request is forwarded unread.
struct IngressRequest {
  /// A new one for each attempt of the caller; empty if missing.
  std::string id_;
  std::string host_;  ///< Selects the route, together with the path.
  std::optional<Duration> time_left_;  ///< How long the caller still waits.
  std::optional<Generation> generation_;
  /// The stream resumes after this event; -1: from the start.
  std::int64_t last_event_ = -1;
};

/// Parameters for forwarding a request to a target.
struct ForwardOptions {
  std::string target_id_;
  TargetEndpoint endpoint_;
  Duration time_left_{};
  int priority_ = 0;              ///< Priority at the target; 0 is the highest.
  std::int64_t last_event_ = -1;  ///< Resume after this event; -1: as received.
};

/// Properties of an attempt, as read from the head of a target's response.
struct TargetResponseInfo {
  bool not_run_ = false;  ///< The target states that the request did not run.
  bool model_not_loaded_ =
      false;  ///< The model or adapter is not loaded there.
  bool endpoint_reassigned_ =
      false;                    ///< The address belongs to another target now.
  bool authenticated_ = false;  ///< Carries the receipt header of the target.
};

/// Why the gateway answers a request itself with an error.
enum class RefusalReason : std::uint8_t {
  kMalformed,     ///< Cannot be parsed or lacks a required field.
  kNoRoute,       ///< No route matches.
  kNotRun,        ///< Did not run and will not; may be retried.
  kTargetFailed,  ///< A target failed; the request may have run.
  kTimedOut,      ///< The time limit passed; the request may have run.
};

}  // namespace baobab::gateway
