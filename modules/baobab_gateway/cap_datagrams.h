#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "baobab_accounts/cap_messages.h"

namespace baobab::gateway {

/// Encodes a demand as the payload of a datagram.
[[nodiscard]] auto EncodeCapDemand(const accounts::CapDemand& demand)
    -> std::string;

/// Decodes a demand. Returns nullopt if `bytes` are not a complete one.
[[nodiscard]] auto DecodeCapDemand(std::string_view bytes)
    -> std::optional<accounts::CapDemand>;

/// Encodes an answer as the payload of a datagram. Shares and credits are
/// rounded down: the receiver must not use more than the broker counts.
[[nodiscard]] auto EncodeCapGrants(const accounts::CapGrants& grants)
    -> std::string;

/// Decodes an answer. Returns nullopt if `bytes` are not a complete one.
[[nodiscard]] auto DecodeCapGrants(std::string_view bytes)
    -> std::optional<accounts::CapGrants>;

}  // namespace baobab::gateway
