#pragma once

/// Placement of models on servers: records of intended contents, orders whose
/// memory is counted until proof, demand forecast, planning and adapters.
/// Depends on: baobab_base, Boost.MSM and Boost.JSON (implementation only).

#include "baobab_placement/adapter_sequencer.h"
#include "baobab_placement/copy_lifecycle.h"
#include "baobab_placement/demand_forecast.h"
#include "baobab_placement/fit_report.h"
#include "baobab_placement/order_tracker.h"
#include "baobab_placement/placement_actions.h"
#include "baobab_placement/placement_planner.h"
#include "baobab_placement/server_record.h"
