#pragma once

/// HTTP/1.1 server for callers and operators: bounded sessions, streamed
/// responses and problem+json errors.
/// Depends on: baobab_base, Boost.Asio, Boost.Beast, Boost.JSON.

#include "baobab_http/http_message.h"
#include "baobab_http/http_server.h"
#include "baobab_http/problem.h"
