#pragma once

/// Choice of a target for a request: load, prefix affinity, straggler
/// weights, hedges and retries within budgets, and draining targets.
/// Depends on: baobab_base, Boost headers.

#include "baobab_routing/hedge_policy.h"
#include "baobab_routing/length_predictor.h"
#include "baobab_routing/prefix_index.h"
#include "baobab_routing/retry_budget.h"
#include "baobab_routing/straggler_detector.h"
#include "baobab_routing/target_life_cycle.h"
#include "baobab_routing/target_selector.h"
#include "baobab_routing/target_table.h"
