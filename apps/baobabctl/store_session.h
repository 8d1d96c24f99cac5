#pragma once

#include <memory>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_contract/contract_change.h"
#include "baobab_contract/contract_record.h"
#include "baobab_platform/store_types.h"

namespace baobab::ctl {

/// Blocking access to the configuration service within a time limit.
class StoreSession {
 public:
  /// The time limit begins now. Throws StepError for a bad address.
  StoreSession(const std::vector<std::string>& addresses, Duration time_limit);
  ~StoreSession();
  StoreSession(const StoreSession&) = delete;
  auto operator=(const StoreSession&) -> StoreSession& = delete;

  /// Reads all keys that begin with `prefix`, repeating failed reads until the
  /// time limit. Throws StepError when that is over.
  auto ReadPrefix(const std::string& prefix)
      -> std::vector<platform::StoredValue>;

  /// Reads the contract of `customer` in the same way; nothing if there never
  /// was one. Throws StepError also if the stored value is malformed.
  auto ReadContract(const CustomerId& customer)
      -> std::optional<contract::ContractRecord>;

  /// Reads all contracts, deleted ones too, in the same way.
  auto ReadContracts() -> std::vector<contract::ContractRecord>;

  /// Carries a change to its verdict.
  auto RunChange(const contract::ContractChangeRequest& request)
      -> contract::ChangeResult;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace baobab::ctl
