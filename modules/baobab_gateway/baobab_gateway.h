#pragma once

/// Routes, queues and forwards requests from callers to targets, plans orders
/// (load and unload commands) to engines, and exchanges reports between
/// instances. Durable state (routes, registered targets) is in the store of the
/// platform. Depends on: base, http, targets, platform (base64, back-off).

#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/entry_instance.h"
#include "baobab_gateway/instance_directory.h"
#include "baobab_gateway/order_planner.h"
#include "baobab_gateway/request_gateway.h"
#include "baobab_gateway/retry_ledger.h"
#include "baobab_gateway/route_table.h"
#include "baobab_gateway/state_sync.h"
