#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace baobab::platform {

/// Returns `bytes` in base64 with padding (RFC 4648 section 4), as the etcd
/// JSON gateway encodes keys and values.
[[nodiscard]] auto Base64Encode(std::string_view bytes) -> std::string;

/// Returns the bytes that `text` encodes, or nothing if it is not padded
/// base64.
[[nodiscard]] auto Base64Decode(std::string_view text)
    -> std::optional<std::string>;

}  // namespace baobab::platform
