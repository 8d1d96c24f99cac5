#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "baobab_base/strong_id.h"
#include "baobab_contract/contract_register.h"
#include "baobab_http/http_message.h"

namespace baobab {

/// Finds the customer of a caller by the SHA-256 of its key.
class Authenticator {
 public:
  /// Takes the keys of all active contracts. Call after each change.
  auto Rebuild(const contract::ContractRegister& contracts) -> void;

  /// Returns the customer of `Authorization: Bearer <key>`, or nothing.
  [[nodiscard]] auto CustomerOf(const HttpRequest& request) const
      -> std::optional<CustomerId>;

 private:
  std::unordered_map<std::string, CustomerId> customers_;  // by digest, hex
};

}  // namespace baobab
