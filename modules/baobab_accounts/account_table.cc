#include "baobab_accounts/account_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace baobab::accounts {

auto AccountTable::KeyHash::operator()(const std::string& key) const
    -> std::size_t {
  return XXH3_64bits_withSeed(key.data(), key.size(), seed_);
}

AccountTable::AccountTable(std::vector<ClientAccount> accounts) {
  for (auto& account : accounts) {
    auto shared = std::make_shared<const ClientAccount>(std::move(account));
    for (const auto& key : shared->keys_) {
      by_key_.emplace(key, shared);
    }
    accounts_.push_back(std::move(shared));
  }
}

auto AccountTable::FindByKey(std::string_view key) const
    -> std::shared_ptr<const ClientAccount> {
  const auto found = by_key_.find(std::string(key));
  return found == by_key_.end() ? nullptr : found->second;
}

auto AccountTable::FindByName(const std::string& name) const
    -> std::shared_ptr<const ClientAccount> {
  const auto found = std::find_if(
      accounts_.begin(), accounts_.end(),
      [&name](const auto& account) { return account->name_ == name; });
  return found == accounts_.end() ? nullptr : *found;
}

}  // namespace baobab::accounts
