#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "baobab_accounts/client_account.h"

namespace baobab::accounts {

/// The accounts of one version of the manifest, found by key.
///
/// The keys are hashed with a random seed per process, so that callers cannot
/// send keys that collide.
class AccountTable {
 public:
  explicit AccountTable(std::vector<ClientAccount> accounts = {});

  /// Returns the account that holds `key`, or nullptr.
  [[nodiscard]] auto FindByKey(std::string_view key) const
      -> std::shared_ptr<const ClientAccount>;

  /// Returns the account named `name`, or nullptr.
  [[nodiscard]] auto FindByName(const std::string& name) const
      -> std::shared_ptr<const ClientAccount>;

  [[nodiscard]] auto accounts() const
      -> const std::vector<std::shared_ptr<const ClientAccount>>& {
    return accounts_;
  }

 private:
  struct KeyHash {
    KeyHash() : seed_(std::random_device{}()) {}
    std::uint64_t seed_;
    auto operator()(const std::string& key) const -> std::size_t;
  };

  std::vector<std::shared_ptr<const ClientAccount>> accounts_;
  std::unordered_map<std::string, std::shared_ptr<const ClientAccount>, KeyHash>
      by_key_;
};

}  // namespace baobab::accounts
