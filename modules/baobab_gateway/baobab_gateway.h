#pragma once

/// The way of requests from callers to targets on a platform whose store holds
/// what must last: routes, dispatch, attempts, registered targets, orders to
/// engines, and the exchange of reports between instances.
/// Depends on: base, http, targets, platform (base64, back-off).

#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/entry_instance.h"
#include "baobab_gateway/instance_directory.h"
#include "baobab_gateway/order_planner.h"
#include "baobab_gateway/request_gateway.h"
#include "baobab_gateway/retry_ledger.h"
#include "baobab_gateway/route_table.h"
#include "baobab_gateway/state_sync.h"
