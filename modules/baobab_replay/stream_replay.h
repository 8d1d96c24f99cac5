#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "baobab_base/virtual_network.h"
#include "baobab_operations/silence_detector.h"
#include "baobab_operations/stream_assembler.h"
#include "baobab_replay/replay.h"

namespace baobab::replay {

/// Drives StreamAssembler and SilenceDetector for streamed responses of two
/// engines, `engine-0` and `engine-1`.
///
/// Settings: `interval_ms` between tokens. Events: `stream` (`id`, `tokens`;
/// starts on engine-0), `silence` (`id`: its present connection goes silent;
/// optional `late_ms`: what it held back arrives that much later), `cut` (`id`:
/// its connection closes without an end) and `target` (`target`, `state`: `up`
/// or `down`). Measures: `complete`, `unfinished`, `wrong_tokens` (passed on to
/// the caller out of order, repeated, or of another stream), `resumes`,
/// `worst_silence_ms` (between two tokens passed on).
class StreamReplay {
 public:
  explicit StreamReplay(const Trace& trace);

  auto Apply(const TraceEvent& event) -> void;
  auto Finish() -> Measures;

 private:
  struct Stream {
    std::uint64_t tokens_ = 0;
    StreamAssembler assembler_;
    StreamId connection_ = 0;  ///< Present attempt.
    std::size_t target_ = 0;
    std::uint64_t passed_on_ = 0;
    TimePoint last_token_;
  };
  struct Connection {
    std::string stream_;
    bool silent_ = false;
    bool closed_ = false;
    Duration late_{};  ///< Zero: what it held back never arrives.
  };

  auto Connect(const std::string& id, TimePoint now) -> void;
  auto Produce(StreamId connection, std::uint64_t offset) -> void;
  auto Deliver(StreamId connection, std::uint64_t offset, TimePoint now)
      -> void;
  auto PassOn(const std::string& payload, std::uint64_t offset, TimePoint now)
      -> void;
  auto Resume(const std::string& id, TimePoint now) -> void;
  auto Tick(TimePoint now) -> void;
  auto Handle(const SilenceAction& action, TimePoint now) -> void;

  VirtualNetwork events_;
  Duration interval_;
  SilenceDetector detector_;
  StreamId next_connection_ = 1;
  std::map<std::string, Stream> streams_;
  std::map<StreamId, Connection> connections_;
  std::map<std::size_t, bool> down_;
  Measures measures_;
};

}  // namespace baobab::replay
