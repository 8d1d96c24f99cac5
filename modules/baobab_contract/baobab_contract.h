#pragma once

/// Customer contracts: the TOML document, its validation and comparison, the
/// value stored in the configuration service, the contracts active on an
/// instance, and the outcome of one change by an operator.
/// Depends on: baobab_base, toml++, Boost.JSON, OpenSSL.

#include "baobab_contract/contract.h"
#include "baobab_contract/contract_change.h"
#include "baobab_contract/contract_gossip.h"
#include "baobab_contract/contract_parser.h"
#include "baobab_contract/contract_record.h"
#include "baobab_contract/contract_register.h"
