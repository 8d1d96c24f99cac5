#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "baobab_base/time_types.h"

namespace baobab::accounts {

/// Share of a cap that one instance may use: fractions of the rate and of the
/// units that all buckets may hold together (CapBounds::BucketUnits). The sum
/// over all instances is at most 1.
struct CapShare {
  double rate_ = 0;
  double size_ = 0;
  auto operator==(const CapShare&) const -> bool = default;
};

/// What one instance states about its use of one cap.
struct CapUse {
  double asked_per_second_ = 0;  ///< Units of recent requests, also refused.
  double level_ = 0;             ///< Units in its bucket.
  /// Units by which the bucket is short of what waiting requests need.
  double missing_ = 0;
  /// Units that its bucket has lost to smaller shares since the process
  /// started. The broker takes them back.
  double dropped_ = 0;
  /// Share that the instance holds.
  CapShare held_;
};

/// Message of an instance to the broker of caps: its use of the caps, and a
/// request for new shares.
struct CapDemand {
  std::string instance_;
  std::string address_;           ///< Of the instance; the answer goes there.
  std::int64_t incarnation_ = 0;  ///< Differs with each process.
  std::int64_t sequence_ = 0;     ///< Increases with each demand of a process.
  /// Term of the broker that the demand is for; 0 if unknown. A broker adopts
  /// only what is stated since its term began: an older statement may have been
  /// overtaken by what its predecessor granted to others.
  std::int64_t broker_term_ = 0;
  /// Term and sequence number of the last answer that was applied, if it is
  /// still valid; otherwise 0.
  std::int64_t term_ = 0;
  std::int64_t applied_ = 0;
  std::map<std::string, CapUse> uses_;  ///< By account.
};

/// Share of one cap, with units to add to the bucket once.
struct CapGrant {
  CapShare share_;
  double credit_ = 0;
};

/// Answer of the broker to a CapDemand: all shares that the instance now holds.
struct CapGrants {
  std::string instance_;  ///< Receiver.
  std::int64_t incarnation_ = 0;
  std::int64_t term_ = 0;  ///< Increases with each broker.
  /// Increases with each answer of a term. 0: not an answer, but a request to
  /// state the use again, for this term.
  std::int64_t sequence_ = 0;
  std::int64_t demand_ = 0;                 ///< Sequence number of the demand.
  std::map<std::string, CapGrant> grants_;  ///< By account.
};

/// Times that the broker and the holders of shares agree on.
struct CapTerms {
  /// Time for which a share may be used, counted by its holder from the moment
  /// it sent the demand. It bridges the time until the next broker has taken
  /// over after a failure, about two seconds.
  static constexpr Duration kValidity = std::chrono::seconds(3);
  /// Time for which the broker counts a share as used, counted from its answer,
  /// and for which a new broker hands out only what holders already have. The
  /// clocks of two machines may differ in rate by 10%.
  static constexpr Duration kCounted = kValidity * 11 / 10;
};

}  // namespace baobab::accounts
