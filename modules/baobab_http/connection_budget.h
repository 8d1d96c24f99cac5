#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab {

/// Decides what the connections of one server may hold in memory: which may
/// read on, which must wait, and which one ends next. Does no I/O.
///
/// A connection holds its own objects, unread heads, bodies and unsent
/// responses. Requests that are passed on never end here.
class ConnectionBudget {
 public:
  /// Identifies a connection while it is open.
  using Key = const void*;

  enum class Phase : std::uint8_t {
    kFresh,    ///< Open, no request yet.
    kIdle,     ///< Between two requests.
    kReading,  ///< Part of a request has arrived.
    kRunning,  ///< The request was passed on.
    kSending,  ///< The whole response is known; its rest waits for the caller.
    kEnding,   ///< The request was refused; the connection closes.
  };

  /// Memory of an open connection without what it reads or sends. Measured:
  /// 3,000 idle connections took 1,658 bytes each, with the allocator's
  /// overhead.
  static constexpr std::size_t kConnectionBytes = 2048;
  /// A request up to this size counts as short: it may use the reserve.
  static constexpr std::size_t kShortBytes = std::size_t{64} * 1024;
  /// Part of the budget that only short requests may use.
  static constexpr std::size_t kReserveDivisor = 8;
  /// Bytes that the system may receive for a connection that is not read. The
  /// platform counts them as memory of the process.
  static constexpr std::size_t kReceiveWindow = std::size_t{64} * 1024;
  /// Part of the budget that those bytes may use.
  static constexpr std::size_t kPausedDivisor = 4;
  /// Longest time for which a connection is not read before it ends.
  static constexpr Duration kMaxPause = std::chrono::seconds(1);
  /// Shortest time without progress after which an unread response may end.
  static constexpr Duration kMinWriteStall = std::chrono::seconds(1);

  explicit ConnectionBudget(std::size_t bytes) : total_(bytes) {}

  auto Open(Key key, TimePoint now) -> void;
  auto Close(Key key) -> void;
  /// Records that the connection holds `bytes` besides kConnectionBytes.
  auto Hold(Key key, std::size_t bytes) -> void;
  auto SetPhase(Key key, Phase phase, TimePoint now) -> void;
  /// Records that bytes of a request or a response have passed.
  auto OnProgress(Key key, TimePoint now) -> void;
  /// Records whether reading waits for memory.
  auto SetPaused(Key key, bool paused, TimePoint now) -> void;

  /// Returns true if the connection may hold `growth` bytes more.
  [[nodiscard]] auto MayGrow(Key key, std::size_t growth) const -> bool;
  /// Returns true if `growth` more bytes make a request that is not short.
  [[nodiscard]] auto IsLong(Key key, std::size_t growth) const -> bool;
  /// Returns true if no further connection may wait for memory.
  [[nodiscard]] auto MustEndPaused() const -> bool {
    return paused_ * kReceiveWindow > total_ / kPausedDivisor;
  }
  [[nodiscard]] auto IsOverdrawn() const -> bool { return used_ > total_; }
  /// Returns true if responses must leave little unsent.
  [[nodiscard]] auto IsTight() const -> bool { return used_ > total_ / 2; }

  /// Returns the connection whose request, not passed on and holding memory,
  /// has gone without progress for longest. Leaves out `except`.
  [[nodiscard]] auto FindReading(Key except) const -> std::optional<Key>;
  /// Returns the connection that has waited for memory for longest, if that is
  /// kMaxPause or `any`.
  [[nodiscard]] auto FindPaused(bool any, TimePoint now) const
      -> std::optional<Key>;
  /// Returns the connection whose response has stood still for longest, at
  /// least for kMinWriteStall.
  [[nodiscard]] auto FindUnreadResponse(TimePoint now) const
      -> std::optional<Key>;
  /// Returns the connection to close so that another one can be accepted: one
  /// that never sent a request, an idle one, one that was refused, or a request
  /// not passed on; of each, the one without progress for longest.
  [[nodiscard]] auto FindToReplace() const -> std::optional<Key>;

  /// Returns the connections that wait for memory.
  [[nodiscard]] auto Paused() const -> std::vector<Key>;

  [[nodiscard]] auto used() const -> std::size_t { return used_; }
  [[nodiscard]] auto total() const -> std::size_t { return total_; }
  [[nodiscard]] auto paused() const -> std::size_t { return paused_; }

 private:
  struct Entry {
    std::size_t bytes_ = 0;
    Phase phase_ = Phase::kFresh;
    bool is_paused_ = false;
    TimePoint progress_at_{};
    TimePoint paused_at_{};
  };

  /// Returns the entry with the smallest `time` of those that `matches`.
  template <class Matches, class Time>
  [[nodiscard]] auto FindOldest(Matches matches, Time time) const
      -> std::optional<Key> {
    std::optional<Key> oldest;
    auto oldest_at = TimePoint::max();
    for (const auto& [key, entry] : entries_) {
      if (matches(key, entry) && time(entry) < oldest_at) {
        oldest = key;
        oldest_at = time(entry);
      }
    }
    return oldest;
  }

  std::size_t total_;
  std::size_t used_ = 0;
  std::size_t paused_ = 0;
  std::unordered_map<Key, Entry> entries_;
};

}  // namespace baobab
