#pragma once

#include <algorithm>
#include <cstdint>

#include "baobab_base/time_types.h"
#include "baobab_gateway/store_position.h"

namespace baobab::gateway {

/// Decides whether a read of the store proves that no manifest newer than the
/// known one had been acknowledged when the read began.
///
/// Within one era of the store each read proves it. After a return of the store
/// from a copy, manifests that it acknowledged before may be missing until the
/// operator has written them again. A read then counts once one of these is
/// known: an instance stated in the store that the era has settled, the
/// operator wrote a manifest in this era that is not older than any known one,
/// or kManifestRewriteTime has passed. It never counts if it shows an older
/// manifest than one that is known here or at a peer.
///
/// Times are of the boot clock: a process that was suspended finds that the
/// time has passed for the store as well.
class StoreReadEvidence {
 public:
  /// Time after a return of the store from a copy in which the operator writes
  /// a lost manifest again. The platform states none; the longest time in which
  /// a site expects a manifest to act is assumed (3 s, instance settings).
  static constexpr Duration kManifestRewriteTime = std::chrono::seconds(3);

  enum class Verdict : std::uint8_t {
    kProves,
    kOlderManifest,  ///< The store lacks a manifest that is known to exist.
    kUnsettledEra,   ///< The store may lack manifests that nobody here knows.
  };

  [[nodiscard]] friend constexpr auto ToString(Verdict verdict) -> const char* {
    switch (verdict) {
      case Verdict::kProves:
        return "proved";
      case Verdict::kOlderManifest:
        return "store_has_older_manifest";
      case Verdict::kUnsettledEra:
        return "era_not_settled";
    }
    return "unknown";
  }

  /// Handles the position of the store in a response that arrived at `now`.
  /// Must be called before OnManifest() for the entries of the response.
  auto OnResponse(std::int64_t position, Duration now) -> void {
    const auto era = StorePosition::Era(position);
    if (has_response_ && era <= era_) {
      return;
    }
    has_response_ = true;
    era_ = era;
    first_position_ = position;
    first_response_at_ = now;
    read_version_ = 0;
    rewritten_version_ = 0;
  }

  /// Handles a manifest that was read from the store, as written at `position`.
  auto OnManifest(std::int64_t version, std::int64_t position) -> void {
    read_version_ = std::max(read_version_, version);
    if (position > first_position_) {
      rewritten_version_ = std::max(rewritten_version_, version);
    }
  }

  /// Handles the version of the manifest that a peer uses, received at `now`.
  auto OnStatedVersion(std::int64_t version, Duration now) -> void {
    if (version > stated_version_) {
      stated_version_ = version;
      stated_at_ = now;
    }
  }

  /// Handles the end of a read that began at `began` and returned all changes.
  auto OnCompleteRead(Duration began) -> void { last_read_began_ = began; }

  /// Records that the store is in the era `era` for so long that the operator
  /// has written lost manifests again.
  auto OnSettledEra(std::int64_t era) -> void { settled_era_ = era; }

  /// Returns what a read that began at `began` proves about a manifest of
  /// `version`, the newest one that this instance has.
  [[nodiscard]] auto Judge(Duration began, std::int64_t version) const
      -> Verdict {
    if (!HasNewestManifest(version)) {
      return Verdict::kOlderManifest;
    }
    return era_ == settled_era_ || rewritten_version_ >= version ||
                   began - first_response_at_ >= kManifestRewriteTime
               ? Verdict::kProves
               : Verdict::kUnsettledEra;
  }

  /// Returns true if the store holds a manifest of `version`, the newest one
  /// that this instance has, or a newer one, and no peer uses a newer one.
  [[nodiscard]] auto HasNewestManifest(std::int64_t version) const -> bool {
    return version >= stated_version_ && read_version_ >= version;
  }

  /// Returns true if a peer uses a manifest newer than `version` that a read of
  /// the store begun after the peer stated so did not return.
  [[nodiscard]] auto LacksStatedVersion(std::int64_t version) const -> bool {
    return stated_version_ > version && last_read_began_ > stated_at_;
  }

 private:
  bool has_response_ = false;
  std::int64_t era_ = 0;
  std::int64_t first_position_ = 0;  // of the first response in this era
  Duration first_response_at_{};
  std::int64_t settled_era_ = 0;  // 0: the store has never returned from a copy
  std::int64_t read_version_ = 0;       // newest one in the store in this era
  std::int64_t rewritten_version_ = 0;  // newest one written in this era
  std::int64_t stated_version_ = 0;     // newest one that a peer uses
  Duration stated_at_{};
  Duration last_read_began_{};
};

}  // namespace baobab::gateway
