#pragma once

/// At-most-once execution of non-idempotent operations and complete delivery
/// of streamed responses: operation keys, the ledger of their owner, claims of
/// caller-chosen keys, stream assembly and detection of silent connections.
/// Depends on: baobab_base, Boost.MSM.

#include "baobab_operations/connection_life_cycle.h"
#include "baobab_operations/operation_claim.h"
#include "baobab_operations/operation_key.h"
#include "baobab_operations/operation_ledger.h"
#include "baobab_operations/operation_life_cycle.h"
#include "baobab_operations/silence_detector.h"
#include "baobab_operations/stream_assembler.h"
