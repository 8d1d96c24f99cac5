#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "baobab_base/time_types.h"

namespace baobab::accounts {

/// Evidence that the manifest in use, which holds the keys, was still the
/// newest one at some moment.
///
/// All times are of the boot clock, which counts the time of a suspension: a
/// process that was frozen finds its evidence as old as it is. A moment is
/// proved by a linearizable read of the store that began then or later, of this
/// instance or of a peer, unless the store may have lost what it acknowledged.
/// The acknowledgement of a newer manifest is therefore later than the moment,
/// and a request that arrives less than the revocation time after it was sent
/// less than that after the acknowledgement.
class KeyEvidence {
 public:
  /// Part of the revocation time that is not used, for the different rates of
  /// the clocks of this machine and of the operator, and its upper bound.
  static constexpr int kMarginDivisor = 5;
  static constexpr Duration kMaxMargin = std::chrono::seconds(1);
  /// Evidence older than this part of its longest age is renewed while requests
  /// need it, before they have to wait.
  static constexpr double kRenewalPart = 0.75;
  /// Age of the evidence with which a key that was refused before is refused
  /// again. Callers whose key was taken away repeat their requests: with a read
  /// of the store for each of them, 78 instances made 20 calls a second. Half
  /// of the 3 s after which sites expect a new key to be accepted.
  static constexpr Duration kMaxRepeatAge = std::chrono::milliseconds(1500);
  /// Versions newer than the one in use that are remembered.
  static constexpr std::size_t kMaxNewerVersions = 8;

  /// `revocation_time`: time after the acknowledgement of a manifest without a
  /// key in which the last request with the key may be sent; nothing: keys are
  /// not revoked strictly, and only unknown keys need evidence.
  explicit KeyEvidence(std::optional<Duration> revocation_time);

  /// Records that the manifest `version` is in use from now on.
  auto SetVersion(std::int64_t version) -> void;

  /// Records that no manifest newer than `version` was acknowledged before
  /// `moment`. Evidence for a version newer than the one in use counts once
  /// that one is in use: until then it proves that a newer one exists.
  auto Confirm(std::int64_t version, Duration moment) -> void;

  /// Returns true if a request with a known key that arrived at `arrived` may
  /// be admitted.
  [[nodiscard]] auto MayAdmit(Duration arrived) const -> bool {
    return !max_age_ || (confirmed_at_ && arrived - *confirmed_at_ < *max_age_);
  }

  /// Returns true if a key that the manifest in use lacks was still unknown
  /// when the request arrived at `arrived`.
  [[nodiscard]] auto ProvesUnknown(Duration arrived) const -> bool {
    return confirmed_at_ && *confirmed_at_ >= arrived;
  }

  /// Returns true if a key that was refused before was still unknown at most
  /// kMaxRepeatAge before the request arrived at `arrived`.
  [[nodiscard]] auto ProvesStillUnknown(Duration arrived) const -> bool {
    return confirmed_at_ && arrived - *confirmed_at_ < kMaxRepeatAge;
  }

  /// Returns true if requests that arrive soon will lack evidence.
  [[nodiscard]] auto NeedsRenewal(Duration now) const -> bool {
    return max_age_ &&
           (!confirmed_at_ || now - *confirmed_at_ >= *max_age_ * kRenewalPart);
  }

  [[nodiscard]] auto is_strict() const -> bool { return max_age_.has_value(); }
  /// Returns the latest moment proved for the manifest in use.
  [[nodiscard]] auto confirmed_at() const -> std::optional<Duration> {
    return confirmed_at_;
  }

 private:
  std::optional<Duration> max_age_;
  std::int64_t version_ = 0;
  std::optional<Duration> confirmed_at_;
  std::map<std::int64_t, Duration> newer_;  // moments by version
};

}  // namespace baobab::accounts
