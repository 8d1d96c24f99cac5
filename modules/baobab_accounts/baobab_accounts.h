#pragma once

/// Client accounts: keys, their revocation, and caps over all instances.
///
/// Decisions only: events with a time point go in, actions come out. Depends on
/// baobab_base.

#include "baobab_accounts/account_cap_broker.h"
#include "baobab_accounts/account_cap_limiter.h"
#include "baobab_accounts/account_table.h"
#include "baobab_accounts/cap_bounds.h"
#include "baobab_accounts/cap_bucket.h"
#include "baobab_accounts/cap_messages.h"
#include "baobab_accounts/client_account.h"
#include "baobab_accounts/evidence_echo.h"
#include "baobab_accounts/key_evidence.h"
#include "baobab_accounts/use_meter.h"
