#pragma once

/// Types that every other module uses: time, identifiers, outcomes, errors,
/// rings between threads, rendezvous hashing, logs and metrics.
/// Depends on: Boost headers, log4cplus, xxhash.

#include "baobab_base/bounded_ring.h"
#include "baobab_base/clock.h"
#include "baobab_base/log.h"
#include "baobab_base/metrics_registry.h"
#include "baobab_base/outcome.h"
#include "baobab_base/random_source.h"
#include "baobab_base/rendezvous_hash.h"
#include "baobab_base/step_error.h"
#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_base/work_kind.h"
