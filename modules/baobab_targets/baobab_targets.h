#pragma once

/// HTTP clients for model engines and plain services, with pooled connections
/// and an exact statement of whether a failed request may have left.
/// Depends on: baobab_base, Boost.Asio, Boost.Beast, Boost.JSON.

#include "baobab_targets/attempt_failure.h"
#include "baobab_targets/engine_client.h"
#include "baobab_targets/engine_messages.h"
#include "baobab_targets/service_client.h"
#include "baobab_targets/target_exchange.h"
