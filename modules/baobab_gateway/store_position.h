#pragma once

#include <cstdint>

namespace baobab::gateway {

/// Orders changes of the store over all of its eras (see StoreEra): a revision
/// together with the era that gave it out, in one number. Revisions alone are
/// given out again in a later era. Equal to the revision if the store states no
/// era.
///
/// Era and revision take 53 bits, so that readers of JSON that hold numbers as
/// doubles represent a fencing token exactly.
struct StorePosition {
  static constexpr int kRevisionBits = 36;
  static constexpr std::int64_t kMaxRevision =
      (std::int64_t{1} << kRevisionBits) - 1;

  /// `revision` is at most kMaxRevision, and `era` at most StoreEra::kMax.
  [[nodiscard]] static constexpr auto Make(std::int64_t era,
                                           std::int64_t revision)
      -> std::int64_t {
    return era * (kMaxRevision + 1) + revision;
  }
  [[nodiscard]] static constexpr auto Era(std::int64_t position)
      -> std::int64_t {
    return position / (kMaxRevision + 1);
  }
  [[nodiscard]] static constexpr auto Revision(std::int64_t position)
      -> std::int64_t {
    return position % (kMaxRevision + 1);
  }
};

}  // namespace baobab::gateway
