#pragma once

/// Checks histories of concurrent runs against sequential models: contract
/// register, at-most-once operation, concurrency limit and memory account.
/// Depends on: baobab_base.

#include "baobab_history/history_reader.h"
#include "baobab_history/linearizability_checker.h"
#include "baobab_history/sequential_models.h"
