#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "baobab_peers/peer_message.h"

namespace baobab::peers {

/// Version of the message format; a message of another version is rejected.
inline constexpr int kPeerVersion = 1;

/// Returns `message` as one JSON object `{v, from, incarnation, seq, type,
/// body}`. Body keys are the field names without the trailing underscore.
[[nodiscard]] auto EncodePeerMessage(const PeerMessage& message) -> std::string;

/// Parses a message; returns nothing if it is malformed, of another version or
/// of an unknown type. Unknown fields are ignored.
[[nodiscard]] auto DecodePeerMessage(std::string_view json)
    -> std::optional<PeerMessage>;

}  // namespace baobab::peers
