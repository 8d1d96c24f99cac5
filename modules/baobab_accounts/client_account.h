#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobab::accounts {

/// What one unit of an account's cap counts.
enum class CapUnit : std::uint8_t {
  kRequests,
  kTokens,  ///< Prompt tokens and output limit of a request.
};

/// Cap on what one account may use over all instances together: a token bucket.
struct AccountCap {
  /// Units by which the bucket refills per second; 0: no cap.
  double units_per_second_ = 0;
  double burst_units_ = 0;  ///< Size of the bucket.
  CapUnit unit_ = CapUnit::kRequests;
  /// Tokens that a request counts if it states no number of tokens.
  std::uint32_t default_tokens_ = 0;

  auto operator==(const AccountCap&) const -> bool = default;

  [[nodiscard]] auto IsUnlimited() const -> bool {
    return units_per_second_ <= 0;
  }
};

/// A party whose callers identify themselves with one of its keys.
struct ClientAccount {
  std::string name_;
  /// Secrets. They must not appear in logs, metrics, responses or exceptions.
  std::vector<std::string> keys_;
  /// Replaces the priority of the route; 0 is the most urgent.
  std::optional<int> priority_;
  AccountCap cap_;
};

}  // namespace baobab::accounts
