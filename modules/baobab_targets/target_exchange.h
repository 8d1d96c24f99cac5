#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_targets/attempt_failure.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab {

class ConnectionPool;

/// Time limits of one exchange.
struct ExchangeTimeouts {
  Duration connect_ = std::chrono::seconds(1);
  Duration send_ = std::chrono::seconds(5);
  /// From the end of the request to the head of the response.
  Duration head_ = std::chrono::seconds(60);
  /// Between two pieces of the body.
  Duration body_ = std::chrono::seconds(30);
  /// From the start of the exchange to its end. Ends an exchange whose target
  /// sends a byte now and then.
  Duration total_ = Duration::max();
};

/// One request to a target.
struct TargetRequest {
  TargetEndpoint endpoint_;
  std::string method_ = "GET";
  std::string path_;  ///< With the query.
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  /// Sent instead of `body_` if set. Shared, so that a long body is in memory
  /// once however often its request is sent.
  std::shared_ptr<const std::string> shared_body_;
  ExchangeTimeouts timeouts_;
  /// Opens a connection for this request alone. Needed where an unknown outcome
  /// costs much: a pooled connection may have been closed by the target in the
  /// meantime, which shows only after bytes have left.
  bool new_connection_ = false;
  /// Opens no connection: without a pooled one the exchange fails with outcome
  /// kNotRun. For calls to the process that answered before.
  bool open_connection_only_ = false;
  /// Name of a header that the target echoes, and the value sent in it; an
  /// empty value if the request does not contain the header. A response with
  /// another value answers an earlier request and is skipped. With an empty
  /// name, responses are not matched.
  std::string echo_header_;
  std::string echo_value_;
};

/// Head of a target's response.
struct TargetResponseHead {
  unsigned status_ = 0;
  std::vector<std::pair<std::string, std::string>> headers_;

  /// Returns the first value of `name` (compared without case), or an empty
  /// view.
  [[nodiscard]] auto Header(std::string_view name) const -> std::string_view;
};

/// Receives the events of one exchange: a head, pieces, then one end or, at any
/// point, one failure. Nothing follows a cancel.
struct ExchangeEvents {
  std::function<void(const TargetResponseHead&)> on_head_;
  std::function<void(std::string_view)> on_data_;
  std::function<void()> on_end_;
  std::function<void(const AttemptFailure&)> on_failure_;
};

/// One request and its response on one connection. Keeps itself alive until it
/// ends. Used on the thread of the pool only.
class TargetExchange {
 public:
  virtual ~TargetExchange() = default;

  /// Starts an exchange; events arrive later, never from within this call.
  static auto Start(const std::shared_ptr<ConnectionPool>& pool,
                    TargetRequest request, ExchangeEvents events)
      -> std::shared_ptr<TargetExchange>;

  /// Closes the connection and drops all further events. Returns false if
  /// nothing of the request can have left.
  virtual auto Cancel() -> bool = 0;

  /// Stops (true) or resumes (false) reading the response.
  virtual auto Pause(bool paused) -> void = 0;
};

}  // namespace baobab
