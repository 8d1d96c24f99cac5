#pragma once

/// Replays recorded traces through core classes under virtual time and
/// compares what happened with the outcomes that the trace states.
/// Depends on: baobab_base, baobab_contract, baobab_limits,
/// baobab_operations, Boost.JSON.

#include "baobab_replay/replay.h"
#include "baobab_replay/trace.h"
