#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// Returns a 64-bit hash of `key` under `seed` (xxHash XXH3).
[[nodiscard]] auto HashKey(std::string_view key, std::uint64_t seed = 0)
    -> std::uint64_t;

/// Returns the indices of the `count` members with the highest rendezvous
/// weight for `key`, best first. The order of `members` does not matter for
/// which names are chosen; ties fall to the smaller name.
[[nodiscard]] auto RendezvousTop(std::string_view key,
                                 std::span<const std::string> members,
                                 std::size_t count) -> std::vector<std::size_t>;

}  // namespace baobab
