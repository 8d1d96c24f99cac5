#pragma once

/// Messages between daemons, their JSON form, and their transport over nng.
/// Depends on: baobab_base, baobab_contract, baobab_limits,
/// baobab_membership, Boost.JSON, nng.

#include "baobab_peers/peer_codec.h"
#include "baobab_peers/peer_message.h"
#include "baobab_peers/peer_node.h"
#include "baobab_peers/peer_transport.h"
