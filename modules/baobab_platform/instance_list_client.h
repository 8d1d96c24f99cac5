#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_platform/store_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace baobab::platform {

/// State of an instance according to the list.
enum class InstanceState : std::uint8_t { kLive, kLeaving, kEnded };

/// What runs on an instance.
enum class InstanceKind : std::uint8_t { kDaemon, kEngine, kService };

/// One entry of the platform's instance list.
struct ListedInstance {
  InstanceId id_;
  InstanceKind kind_ = InstanceKind::kDaemon;
  std::string address_;        ///< For callers or requests, "host:port".
  std::string admin_address_;  ///< Daemons only; may be empty.
  std::string peer_address_;   ///< Daemons only; may be empty.
  Region region_;
  FailureDomain failure_domain_;
  InstanceState state_ = InstanceState::kLive;
};

/// Result of reading the list.
struct InstanceListResult {
  std::optional<StoreFailure> failure_;
  std::vector<ListedInstance> instances_;
};

/// Reads the answer of `GET /v1/instances`; nothing if it is malformed.
/// Entries of an unknown kind or state are left out.
[[nodiscard]] auto ParseInstanceList(std::string_view body)
    -> std::optional<std::vector<ListedInstance>>;

/// Asynchronous client of the instance list. Used on the thread of the
/// io_context only; results arrive there.
class InstanceListClient {
 public:
  /// Throws StepError if `address` is not an IP address and port.
  InstanceListClient(boost::asio::io_context& context,
                     const std::string& address);
  ~InstanceListClient();
  InstanceListClient(const InstanceListClient&) = delete;
  auto operator=(const InstanceListClient&) -> InstanceListClient& = delete;

  /// Reads the list once.
  auto Fetch(const std::function<void(InstanceListResult)>& on_list) -> void;

  /// Reads the list now and then every `interval`, until the client is
  /// destroyed.
  auto Poll(Duration interval,
            const std::function<void(InstanceListResult)>& on_list) -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace baobab::platform
