#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/software_versions.h"

namespace baobab::gateway {

/// Origins of streams, as one instance tells them to its peers.
struct StreamOriginUpdate {
  struct Stream {
    std::uint64_t id_ = 0;    ///< Hash of the id of the stream.
    std::size_t origin_ = 0;  ///< Index in `origins_`.
    Duration age_{};          ///< Since its first event.
    auto operator==(const Stream&) const -> bool = default;
  };
  std::string instance_;
  std::vector<SoftwareVersion> origins_;
  std::vector<Stream> streams_;
};

/// Asks a peer for the origins of streams.
struct StreamOriginQuery {
  std::string instance_;
  std::string address_;             ///< IP address of the sender.
  std::vector<std::uint64_t> ids_;  ///< See StreamOrigins::IdOf().
};

/// Encodes a query as the payload of a datagram.
[[nodiscard]] auto EncodeStreamOriginQuery(const StreamOriginQuery& query)
    -> std::string;
/// Decodes a query. Returns nullopt if `bytes` are not a complete one.
[[nodiscard]] auto DecodeStreamOriginQuery(std::string_view bytes)
    -> std::optional<StreamOriginQuery>;

/// Encodes an update as the payload of a datagram.
[[nodiscard]] auto EncodeStreamOrigins(const StreamOriginUpdate& update)
    -> std::string;
/// Decodes an update. Returns nullopt if `bytes` are not a complete one.
[[nodiscard]] auto DecodeStreamOrigins(std::string_view bytes)
    -> std::optional<StreamOriginUpdate>;

/// Remembers which service and software version began each recent stream, here
/// or at a peer: another version must not go on with it.
///
/// A stream is named by the id of the caller's attempt that brought its first
/// event. Bounded in time and number; an origin that is dropped is unknown.
class StreamOrigins {
 public:
  /// Time for which an origin is kept.
  static constexpr Duration kMaxAge = SoftwareVersions::kMemory;
  /// Maximum number of streams, about 100 bytes each.
  static constexpr std::size_t kMaxStreams = 32'768;
  /// Maximum number of streams in an update: it fits into a datagram.
  static constexpr std::size_t kMaxStreamsInUpdate = 3'000;
  /// Number of updates that name a stream, since updates may be lost.
  static constexpr int kRepetitions = 3;
  /// The same for updates to the keepers of origins, which are few.
  static constexpr int kKeeperRepetitions = 2;

  /// Returns the id under which instances exchange the origin of `stream`.
  [[nodiscard]] static auto IdOf(std::string_view stream) -> std::uint64_t;

  /// Records that this instance delivered the first event of `stream`, or went
  /// on with it. A known origin stands.
  auto Record(const std::string& stream, const SoftwareVersion& origin,
              TimePoint now) -> void;
  /// Records what a peer knows.
  auto Learn(const StreamOriginUpdate& update, TimePoint now) -> void;
  /// Returns the origin of `stream`, or nullptr if it is unknown.
  [[nodiscard]] auto Find(const std::string& stream, TimePoint now) const
      -> const SoftwareVersion*;
  /// Returns what is known of the streams `ids`, of this instance or a peer.
  [[nodiscard]] auto Lookup(const std::vector<std::uint64_t>& ids,
                            TimePoint now) const -> StreamOriginUpdate;
  /// Returns the streams of this instance that its keepers must know: a few
  /// peers that answer for it while it is silent. Leaves out the services
  /// `mixed`, whose streams TakeUpdate() names to all peers.
  [[nodiscard]] auto TakeKeeperUpdate(const std::set<std::string>& mixed,
                                      TimePoint now) -> StreamOriginUpdate;
  /// Returns the streams of this instance that peers must know, of the services
  /// `mixed`; others wait until their service has several versions.
  [[nodiscard]] auto TakeUpdate(const std::set<std::string>& mixed,
                                TimePoint now) -> StreamOriginUpdate;
  /// Returns the streams of the services `mixed` that this instance recorded at
  /// `since` or later.
  [[nodiscard]] auto OwnSince(TimePoint since,
                              const std::set<std::string>& mixed,
                              TimePoint now) const -> StreamOriginUpdate;
  /// Returns true if this instance recorded a stream at `since` or later.
  [[nodiscard]] auto HasOwnSince(TimePoint since) const -> bool {
    return last_own_ >= since && last_own_ != TimePoint{};
  }
  /// Lets the next updates name all streams of this instance again: a peer has
  /// started.
  auto RepeatAll(TimePoint now) -> void;

 private:
  struct Entry {
    std::shared_ptr<const SoftwareVersion> origin_;
    TimePoint began_at_{};
    bool is_own_ = false;
    int repetitions_ = 0;  // updates that named it
    int keeper_repetitions_ = 0;
  };

  /// Appends a stream to `update`. `indexes` are those of its origins.
  static auto Append(StreamOriginUpdate& update,
                     std::map<const SoftwareVersion*, std::size_t>& indexes,
                     std::uint64_t id, const Entry& entry, TimePoint now)
      -> void;
  auto Insert(std::uint64_t id, const SoftwareVersion& origin,
              TimePoint began_at, bool is_own, TimePoint now) -> void;
  /// Returns the one copy of `origin`.
  auto Intern(const SoftwareVersion& origin)
      -> std::shared_ptr<const SoftwareVersion>;
  auto Expire(TimePoint now) -> void;

  std::unordered_map<std::uint64_t, Entry> streams_;
  std::deque<std::pair<TimePoint, std::uint64_t>> order_;  // of insertion
  std::deque<std::uint64_t> pending_;  // own streams that updates still name
  std::deque<std::uint64_t> keeper_pending_;  // the same for TakeKeeperUpdate()
  TimePoint last_own_{};
  std::map<SoftwareVersion, std::weak_ptr<const SoftwareVersion>> interned_;
};

}  // namespace baobab::gateway
