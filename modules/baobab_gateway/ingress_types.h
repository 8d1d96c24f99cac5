#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "baobab_accounts/account_cap_limiter.h"
#include "baobab_base/time_types.h"
#include "baobab_gateway/stated_load.h"
#include "baobab_gateway/work_item.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab::gateway {

/// Fields of a caller's request that the gateway evaluates. It forwards the
/// body without parsing it.
struct IngressRequest {
  /// Request id, different for each attempt of the caller; empty if missing.
  std::string id_;
  std::string host_;  ///< Selects the route together with the path.
  std::optional<Duration> time_left_;  ///< Until the caller gives up.
  std::optional<Generation> generation_;
  /// Id of the event after which the caller resumes a stream; -1: none.
  std::int64_t last_event_id_ = -1;
  /// Id of the caller's attempt that brought the first event of that stream;
  /// empty if the caller does not name it.
  std::string resumed_stream_;
  /// Key of the caller's account; empty without one. Secret: it is neither
  /// forwarded nor logged. A key that no account can hold (sent twice,
  /// overlong) is decoded as `has_invalid_key_`.
  std::string api_key_;
  bool has_invalid_key_ = false;
  /// When the request was received, on the boot clock.
  Duration received_at_{};
  /// Prompt tokens and output limit together, if the caller states them.
  std::optional<double> token_count_;
  /// How often the cap of the account was decided on, and until when the
  /// request may wait for that. Not part of the request.
  accounts::CapAttempt cap_attempt_ = accounts::CapAttempt::kFirst;
  TimePoint cap_wait_until_{};
  /// When the origin of the resumed stream was first decided on. Not part of
  /// the request.
  TimePoint origin_asked_at_{};
};

/// Parameters for forwarding a request to a target.
struct ForwardOptions {
  std::string target_id_;
  TargetEndpoint endpoint_;
  Duration time_left_{};
  int priority_ = 0;  ///< Priority at the target; 0 is the highest.
  /// Client account, as the target gets it; may be empty.
  std::string account_;
  bool has_accounts_ = false;  ///< The key of the caller must not be forwarded.
  /// Id of the event after which the stream resumes; -1: the id that the caller
  /// sent, if any.
  std::int64_t last_event_id_ = -1;
  /// Target from whose cache the target fetches parts of the prompt.
  std::optional<TargetEndpoint> cache_source_;
};

/// Result of an attempt, as stated in the head of a target's response.
struct TargetResponseInfo {
  bool not_run_ = false;  ///< The target states that the request did not run.
  /// The target has not loaded the model or adapter.
  bool model_not_loaded_ = false;
  /// The body is an event stream, as far as the target states what it is.
  bool event_stream_ = false;
  /// The target that responded states that it is leaving.
  bool leaving_ = false;
  /// Id of the target that responded, if it states one. Another target than
  /// the expected one may have the address now.
  std::string target_;
  /// The response has the receipt header (the header that targets add to
  /// authenticate their responses). A response without it may not come from the
  /// target.
  bool authenticated_ = false;
  /// Time for which the target wants no request of this instance, if it
  /// rejected this one and states a time.
  std::optional<Duration> retry_after_;
  bool malformed_retry_after_ = false;  ///< It states something unreadable.
  std::optional<StatedLoad> load_;      ///< If the target states it.
  bool malformed_load_ = false;         ///< It states something unreadable.
};

/// Why the gateway itself responds to a request with an error.
enum class RefusalReason : std::uint8_t {
  kOverCap,       ///< Over the cap of the account.
  kMalformed,     ///< Cannot be parsed or lacks a required field.
  kNoRoute,       ///< No route matches.
  kNotRun,        ///< Did not run; the caller may retry.
  kTargetFailed,  ///< A target failed; the request may have run.
  kTimedOut,      ///< The time limit passed; the request may have run.
  kUnknownKey,    ///< No client account holds the key of the caller.
};

}  // namespace baobab::gateway
