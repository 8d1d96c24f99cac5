#pragma once

#include <string>

#include "baobab_contract/contract.h"
#include "store_session.h"

namespace baobab::ctl {

/// Checks that one copy of each model of `contract` and of all other accepted
/// contracts fits on the servers that have a record in the configuration
/// service. Returns what does not fit, or an empty string; also if there is no
/// server record, since the capacity is then not known. Throws StepError if the
/// configuration service cannot be read in time.
[[nodiscard]] auto DescribeMisfit(StoreSession& session,
                                  const contract::Contract& contract)
    -> std::string;

}  // namespace baobab::ctl
