#include "baobab_base/rendezvous_hash.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace baobab {

auto HashKey(std::string_view key, std::uint64_t seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

auto RendezvousTop(std::string_view key, std::span<const std::string> members,
                   std::size_t count) -> std::vector<std::size_t> {
  const auto key_hash = HashKey(key);
  std::vector<std::uint64_t> weights(members.size());
  std::transform(members.begin(), members.end(), weights.begin(),
                 [key_hash](const std::string& member) {
                   return HashKey(member, key_hash);
                 });
  std::vector<std::size_t> order(members.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto taken = std::min(count, members.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(taken),
                    order.end(), [&](std::size_t a, std::size_t b) {
                      return weights[a] != weights[b] ? weights[a] > weights[b]
                                                      : members[a] < members[b];
                    });
  order.resize(taken);
  return order;
}

}  // namespace baobab
