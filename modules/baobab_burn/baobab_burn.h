#pragma once

/// Service-level objectives: counts of good and bad requests per customer and
/// work kind, burn rates over several windows, alerts, and reports.
/// Depends on: baobab_base.

#include "baobab_burn/burn_report.h"
#include "baobab_burn/burn_tracker.h"
