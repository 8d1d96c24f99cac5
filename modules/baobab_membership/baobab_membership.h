#pragma once

/// Which processes are alive, to whom each sends, who owns base shares, which
/// addresses callers are given, and how an instance drains.
/// Depends on: baobab_base, Boost.JSON.

#include "baobab_membership/drain_sequence.h"
#include "baobab_membership/entry_directory.h"
#include "baobab_membership/member.h"
#include "baobab_membership/membership_table.h"
#include "baobab_membership/peer_topology.h"
#include "baobab_membership/roster.h"
