#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "baobab_base/time_types.h"
#include "baobab_gateway/software_versions.h"
#include "baobab_gateway/stream_origins.h"

namespace baobab::gateway {

/// Decides at which software version a stream that a caller resumes goes on.
///
/// The version that began it is known if this instance, a peer or the store has
/// recorded it. Otherwise the stream may go on only if its service has one
/// version, which the registrations of this instance do not show by themselves:
/// they may be older than a version that began the stream elsewhere. So the
/// store must have confirmed them after the request arrived. The first event of
/// the stream, and with it the registration of the target, were earlier.
class StreamOriginResolver {
 public:
  /// Time for which peers are asked. They usually answer within a few
  /// milliseconds; the query is repeated meanwhile, since it may be lost.
  static constexpr Duration kPeerWait = std::chrono::milliseconds(100);
  /// Longest wait for the store: a read takes some milliseconds, and a store
  /// that is unreachable is noticed only later.
  static constexpr Duration kStoreWait = std::chrono::milliseconds(400);
  /// Time after which the store is read: peers usually answer sooner. Also the
  /// interval of the checks on waiting requests.
  static constexpr Duration kReadDelay = std::chrono::milliseconds(10);
  /// Part of the time left to the caller for which a request waits: the rest is
  /// left for a retry.
  static constexpr int kTimeLeftDivisor = 3;

  enum class Verdict : std::uint8_t {
    kRecorded,     ///< Goes on at the recorded version.
    kOnlyVersion,  ///< Goes on at the one version that there is.
    kUndecided,    ///< Peers or the store may still tell.
    kUnknown,      ///< Must not go on.
  };

  struct Decision {
    Verdict verdict_ = Verdict::kUnknown;
    SoftwareVersion origin_;  ///< Set if the stream goes on.
  };

  /// What a decision depends on besides the recorded origins and versions.
  struct Resumption {
    std::string stream_;      ///< Empty if the caller does not name it.
    std::string service_;     ///< Used if no origin is recorded.
    Duration received_at_{};  ///< On the boot clock.
    Duration waited_{};
    Duration max_wait_{};  ///< See MaxWait().
    bool store_connected_ = false;
  };

  /// Decides on a resumed stream. May be repeated as time passes.
  [[nodiscard]] auto Decide(const Resumption& resumption, TimePoint now) const
      -> Decision {
    if (const auto* origin = origins_.Find(resumption.stream_, now)) {
      return {Verdict::kRecorded, *origin};
    }
    const bool confirmed = IsConfirmed(resumption.received_at_);
    if (confirmed) {
      if (auto only = versions_.OnlyVersion(resumption.service_, now)) {
        return {Verdict::kOnlyVersion, {resumption.service_, std::move(*only)}};
      }
    }
    const bool may_be_told =
        !resumption.stream_.empty() && resumption.waited_ < kPeerWait;
    const bool may_be_read = !confirmed && resumption.store_connected_;
    return {resumption.waited_ < resumption.max_wait_ &&
                    (may_be_told || may_be_read)
                ? Verdict::kUndecided
                : Verdict::kUnknown,
            {}};
  }

  /// Returns the longest time for which a request waits. `time_left`: until its
  /// caller gives up.
  [[nodiscard]] static auto MaxWait(Duration time_left) -> Duration {
    return std::min(kStoreWait, time_left / kTimeLeftDivisor);
  }

  /// Records that this instance knows all registrations that the store had
  /// accepted at `moment` (boot clock).
  auto OnRegistrationsConfirmed(Duration moment) -> void {
    confirmed_at_ = std::max(confirmed_at_.value_or(moment), moment);
  }

  /// Returns true if the registrations are known as of `moment` (boot clock) or
  /// a later one.
  [[nodiscard]] auto IsConfirmed(Duration moment) const -> bool {
    return confirmed_at_ && *confirmed_at_ >= moment;
  }

  [[nodiscard]] auto versions() -> SoftwareVersions& { return versions_; }
  [[nodiscard]] auto origins() -> StreamOrigins& { return origins_; }

 private:
  SoftwareVersions versions_;
  StreamOrigins origins_;
  std::optional<Duration> confirmed_at_;
};

}  // namespace baobab::gateway
