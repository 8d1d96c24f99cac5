#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "baobab_platform/store_client.h"
#include "baobab_targets/connection_pool.h"
#include "baobab_targets/target_exchange.h"

namespace baobab::platform {

/// Bound on an answer, and on a message of a watch, in bytes: a quarter of the
/// memory of a daemon (docs/design.md, section 1.3). A store that sends bytes
/// without end must not use up the rest.
inline constexpr std::size_t kMaxStoreAnswerBytes = std::size_t{32} << 20;

/// Builds requests to the address of the configuration service that worked
/// last. Used by StoreClient and its watches only.
class StoreEndpoint {
 public:
  StoreEndpoint(boost::asio::io_context& context,
                const StoreClientSettings& settings);

  /// Returns a POST of `body` to `path`.
  [[nodiscard]] auto Post(std::string path, std::string body) const
      -> TargetRequest;

  /// Moves on to the next address if `failed` is still the current one.
  auto MarkFailed(const std::string& failed) -> void;

  /// Address of the next request.
  [[nodiscard]] auto address() const -> std::string {
    return endpoints_[current_].ToString();
  }

  /// Connections to all addresses.
  [[nodiscard]] auto pool() const -> const std::shared_ptr<ConnectionPool>& {
    return pool_;
  }

  /// Settings of the client.
  [[nodiscard]] auto settings() const -> const StoreClientSettings& {
    return settings_;
  }

 private:
  StoreClientSettings settings_;
  std::vector<TargetEndpoint> endpoints_;
  std::size_t current_ = 0;
  std::shared_ptr<ConnectionPool> pool_;
};

}  // namespace baobab::platform
