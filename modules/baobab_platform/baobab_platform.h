#pragma once

/// Clients of the platform: the configuration service (a subset of the etcd v3
/// JSON gateway) and the instance list. See docs/protocols.md.
/// Depends on: baobab_base, baobab_targets (HTTP exchanges), Boost.JSON,
/// OpenSSL (base64).

#include "baobab_platform/instance_list_client.h"
#include "baobab_platform/jittered_backoff.h"
#include "baobab_platform/store_client.h"
#include "baobab_platform/store_types.h"
