#pragma once

#include <algorithm>
#include <cstddef>

#include "baobab_gateway/instance_settings.h"
#include "baobab_gateway/manifest.h"
#include "baobab_http/http_server.h"

namespace baobab::gateway {

/// Derives what the connections of an instance may use from its settings.
///
/// Handles callers that stay inside no limit: connections that hold memory or
/// descriptors must not end the process.
class ConnectionLimits {
 public:
  /// Part of the memory for what connections of callers hold: requests that are
  /// read or in progress, and unsent responses. BufferBudget gives a quarter to
  /// responses that are being received; the rest is for the process itself.
  static constexpr std::size_t kMemoryDivisor = 3;
  /// Descriptors for files, which the platform reserves.
  static constexpr std::size_t kFileDescriptors = 200;
  /// Part of the other descriptors for callers: each request in progress needs
  /// a second one to its target.
  static constexpr std::size_t kCallerDivisor = 2;
  static constexpr std::size_t kMinConnections = 16;
  static constexpr std::size_t kMaxConnections = 4096;

  /// Limits of the port for requests.
  [[nodiscard]] static auto ForCallers(const InstanceSettings& settings)
      -> HttpLimits {
    HttpLimits limits;
    limits.held_bytes_ = settings.memory_bytes_ / kMemoryDivisor;
    const auto sockets = settings.max_descriptors_ -
                         std::min(settings.max_descriptors_, kFileDescriptors);
    limits.max_connections_ =
        std::clamp(sockets / kCallerDivisor, kMinConnections, kMaxConnections);
    return limits;
  }

  /// As above, with the limits of a manifest.
  [[nodiscard]] static auto ForCallers(const InstanceSettings& settings,
                                       const CallerLimits& caller)
      -> HttpLimits {
    auto limits = ForCallers(settings);
    limits.header_bytes_ = caller.header_bytes_;
    limits.body_bytes_ = caller.body_bytes_;
    limits.header_timeout_ = caller.header_timeout_;
    limits.idle_timeout_ = caller.idle_timeout_;
    return limits;
  }

  /// Limits of a port for short requests of the platform, of peers and for
  /// addresses: readiness, state, metrics and the directory. Their requests
  /// have no body, or a short one.
  [[nodiscard]] static auto ForControl(const InstanceSettings& settings)
      -> HttpLimits {
    HttpLimits limits;
    limits.body_bytes_ = std::size_t{64} * 1024;
    limits.held_bytes_ = settings.memory_bytes_ / kControlMemoryDivisor;
    limits.max_connections_ =
        std::max(kMinConnections,
                 ForCallers(settings).max_connections_ / kControlDivisor);
    return limits;
  }

 private:
  static constexpr std::size_t kControlMemoryDivisor = 16;
  static constexpr std::size_t kControlDivisor = 8;
};

}  // namespace baobab::gateway
