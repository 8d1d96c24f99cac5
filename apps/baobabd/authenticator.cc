#include "authenticator.h"

#include <string_view>

#include "baobab_contract/contract_record.h"

namespace baobab {

auto Authenticator::Rebuild(const contract::ContractRegister& contracts)
    -> void {
  customers_.clear();
  for (const auto* contract : contracts.ActiveContracts()) {
    for (const auto& digest : contract->key_digests_) {
      customers_.emplace(digest, contract->customer_);
    }
  }
}

auto Authenticator::CustomerOf(const HttpRequest& request) const
    -> std::optional<CustomerId> {
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = request.Header("Authorization");
  if (!header.starts_with(kScheme)) {
    return std::nullopt;
  }
  const auto found =
      customers_.find(contract::Sha256Hex(header.substr(kScheme.size())));
  return found == customers_.end() ? std::nullopt
                                   : std::optional(found->second);
}

}  // namespace baobab
