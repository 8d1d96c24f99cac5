#pragma once

/// Limits of a customer over all instances: base shares, loans between
/// instances, rate and concurrency limiters, and the admission queue.
/// Depends on: baobab_base, baobab_contract.

#include "baobab_limits/admission_queue.h"
#include "baobab_limits/base_share.h"
#include "baobab_limits/concurrency_limiter.h"
#include "baobab_limits/epoch_transition.h"
#include "baobab_limits/rate_limiter.h"
#include "baobab_limits/share_broker.h"
#include "baobab_limits/share_ledger.h"
