#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_operations/connection_life_cycle.h"

namespace baobab {

/// A stream on one connection; unique within a process.
using StreamId = std::uint64_t;

/// What the daemon does about silent connections.
struct SilenceAction {
  enum class Kind : std::uint8_t {
    kProbe,       ///< Probe `target_` on a new connection.
    kResume,      ///< Close the connection of `stream_`, resume it anywhere.
    kTargetDown,  ///< Treat `target_` as down; kResume follows per stream.
  };
  Kind kind_;
  TargetId target_;
  StreamId stream_ = 0;  ///< For kResume.
};

/// Settings of a SilenceDetector.
struct SilenceSettings {
  int silent_intervals_ = 3;  ///< Agreed intervals without data.
  Duration probe_timeout_ = std::chrono::seconds(1);
};

/// Finds connections that went silent while their targets still answer
/// (half-open connections) and targets that answer nothing any more.
class SilenceDetector {
 public:
  explicit SilenceDetector(SilenceSettings settings);

  /// Watches `stream` from `target`, which sends data at least every
  /// `interval`.
  auto Add(StreamId stream, const TargetId& target, Duration interval,
           TimePoint now) -> void;

  /// Data arrived. Returns false if the connection counts as dead; then the
  /// data must be dropped, because the stream has moved.
  auto OnData(StreamId stream, TimePoint now) -> bool;

  /// The stream ended or its connection was closed.
  auto Remove(StreamId stream) -> void;

  /// Asks for a probe of each target with a newly silent connection, one at a
  /// time per target, and fails probes that timed out. Call about every 100 ms.
  auto Tick(TimePoint now) -> std::vector<SilenceAction>;

  /// Takes the result of a probe. Answered: silent connections are dead and
  /// their streams resume. Failed: the target is down and all of its streams
  /// resume.
  auto OnProbe(const TargetId& target, bool answered, TimePoint now)
      -> std::vector<SilenceAction>;

  /// Number of streams watched.
  [[nodiscard]] auto size() const -> std::size_t { return streams_.size(); }

 private:
  struct Stream {
    TargetId target_;
    Duration interval_{};
    TimePoint last_data_;
    ConnectionLifeCycle life_cycle_;
  };

  SilenceSettings settings_;
  std::unordered_map<StreamId, Stream> streams_;
  std::unordered_map<TargetId, TimePoint> probes_;  ///< Sent at.
};

}  // namespace baobab
