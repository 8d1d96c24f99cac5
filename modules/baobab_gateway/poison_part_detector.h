#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_base/time_types.h"
#include "baobab_gateway/crash_evidence.h"
#include "baobab_gateway/work_item.h"

namespace baobab::gateway {

/// Finds parts of prompts that crash every target that begins to respond to
/// them.
///
/// All requests of a target break off together when it crashes. Under suspicion
/// are only the shared parts of those to which it had not begun to respond: a
/// poison part never gets a first event, while other parts soon get one and are
/// acquitted by it, at this instance or at a peer. Crashes within a short time
/// count once, because targets also fail together for reasons of their own. A
/// part with enough crashes and no response is convicted: its requests are
/// refused.
///
/// Instances share their evidence through Evidence() and Merge(); each decides
/// by itself. A verdict ends after some time, at a random moment that differs
/// between instances. One request with the part is then sent as a trial. Its
/// response acquits the part everywhere; a crash renews the verdict everywhere
/// for twice the time.
///
/// Parts that occurred in the same crashes only are all convicted, since the
/// evidence does not tell them apart. A request with one of them alone is sent
/// as a trial early.
class PoisonPartDetector {
 public:
  /// Number of separate crashes after which a part is convicted.
  static constexpr int kCrashesForVerdict = 3;
  /// Number of separate crashes after which requests with the part are not
  /// repeated.
  static constexpr int kCrashesForNoRepeat = 2;
  /// Crashes that follow within this time of a counted one are not counted: a
  /// failure domain that is lost must not convict what its targets had
  /// received.
  static constexpr Duration kMinCrashInterval = std::chrono::milliseconds(250);
  /// Time from the last necessary crash to the verdict, in which peers may
  /// report that a target has begun to respond. Above the usual interval of
  /// reports.
  static constexpr Duration kVerdictDelay = std::chrono::milliseconds(300);
  /// Time for which a crash is evidence.
  static constexpr Duration kEvidenceTime = std::chrono::seconds(60);
  /// Minimum length of the first verdict on a part. The maximum is twice that.
  static constexpr Duration kVerdictTime = std::chrono::seconds(60);
  /// Upper bound on the minimum length of later verdicts.
  static constexpr Duration kMaxVerdictTime = std::chrono::hours(1);
  /// Time for which a crash cannot be that of a trial: attempts that were sent
  /// before the verdict may still crash their targets.
  static constexpr Duration kMinTrialDelay = std::chrono::seconds(30);
  /// Upper bound on the random delay before the early trial of a part that
  /// shares all its crashes with another convicted part. Instances draw
  /// different delays, so that they do not try the part at the same time.
  static constexpr Duration kMaxEarlyTrialDelay = std::chrono::seconds(2);
  /// Time after which a trial without an outcome is repeated.
  static constexpr Duration kTrialTime = std::chrono::seconds(15);
  /// Time after the end of a verdict after which the part is forgotten.
  static constexpr Duration kMemoryTime = std::chrono::minutes(10);
  /// Bounds of the memory: about 50 KB for parts under suspicion and 300 KB for
  /// parts that targets have responded to.
  static constexpr std::size_t kMaxParts = 256;
  static constexpr std::size_t kMaxBegunParts = 4096;

  /// A verdict, for logs and for the response to the caller.
  struct Verdict {
    std::uint64_t part_ = 0;
    int crashes_ = 0;          ///< Number of separate crashes.
    Duration oldest_crash_{};  ///< Age of the oldest one.
    Duration remaining_{};     ///< Time until a trial.
    int convictions_ = 0;      ///< 1, or more after failed trials.
  };

  explicit PoisonPartDetector(std::uint64_t seed) : random_(seed) {}

  /// Records that a target crashed before it began to respond to a prompt.
  /// `crash` identifies the crash among all instances.
  auto OnCrash(const Generation& generation, std::uint32_t crash, TimePoint now)
      -> void;

  /// Records that a target began to respond to a prompt.
  auto OnBegun(const Generation& generation, TimePoint now) -> void;

  /// Records that a request is sent. Returns true if it contains a part whose
  /// verdict has ended: it is the trial of that part.
  auto OnSent(const Generation& generation, TimePoint now) -> bool;

  /// Adds the evidence of a peer.
  auto Merge(const CrashEvidence& evidence, TimePoint now) -> void;

  /// Returns the evidence for peers: parts under suspicion, and suspected ones
  /// that targets have begun to respond to.
  [[nodiscard]] auto Evidence(TimePoint now) const -> std::vector<PartEvidence>;

  /// Returns true, once, if this instance has observed something that peers
  /// must know soon.
  [[nodiscard]] auto TakeNews() -> bool { return std::exchange(news_, false); }
  /// Returns true, once, if peers have reported something new.
  [[nodiscard]] auto TakeRelayedNews() -> bool {
    return std::exchange(relayed_news_, false);
  }

  /// Decides on the parts for which there is enough evidence and returns the
  /// new verdicts. Called before requests are sent or rejected.
  auto Update(TimePoint now) -> std::vector<Verdict>;

  /// Returns the verdict for which a request must not be sent, if there is one.
  [[nodiscard]] auto FindVerdict(const Generation& generation,
                                 TimePoint now) const -> std::optional<Verdict>;

  /// Returns true if a request may be repeated after its target broke off.
  [[nodiscard]] auto MayRepeat(const Generation& generation) const -> bool;

  /// Returns the parts whose verdicts were lifted since the last call.
  [[nodiscard]] auto TakeAcquitted() -> std::vector<std::uint64_t> {
    return std::exchange(acquitted_, {});
  }

  /// Records that the process was suspended for `time`.
  auto OnSuspended(Duration time) -> void;

  /// Returns the number of convicted parts.
  [[nodiscard]] auto convicted() const -> std::size_t;

 private:
  struct Crash {
    std::uint32_t crash_ = 0;
    TimePoint at_{};
  };
  struct Part {
    std::vector<Crash> crashes_;  // in the order of their times
    std::optional<TimePoint> begun_at_;
    TimePoint reported_until_{};  // as begun, to peers
    int convictions_ = 0;
    TimePoint convicted_at_{};
    TimePoint verdict_ends_at_{};
    TimePoint early_trial_from_{};  // alone, if another part is as suspect
    std::optional<TimePoint> trial_at_;
  };
  struct Begun {
    TimePoint at_{};
    std::list<std::uint64_t>::iterator order_;
  };

  /// Adds a crash to the evidence against a part. Returns true if it is new
  /// and peers should know the result.
  auto AddCrash(std::uint64_t id, Crash crash, TimePoint now) -> bool;
  auto Acquit(std::uint64_t id, TimePoint begun_at, TimePoint now) -> void;
  /// Begins a verdict, twice as long as the one before.
  auto Convict(Part& part, TimePoint now) -> void;
  auto Expire(TimePoint now) -> void;
  auto EvictPart() -> void;
  /// Removes the crash that followed its predecessor soonest.
  static auto DropClosestCrash(std::vector<Crash>& crashes) -> void;
  /// Removes crashes that a convicted part explains from the evidence against
  /// other parts.
  auto RemoveExplainedCrashes() -> void;
  [[nodiscard]] auto IsExplained(std::uint32_t crash) const -> bool;
  /// Returns true if another convicted part occurred in all crashes of `part`.
  [[nodiscard]] auto IsAmbiguous(const Part& part) const -> bool;
  /// Returns the number of separate crashes and the time of the one that made
  /// the verdict possible.
  [[nodiscard]] static auto CountCrashes(const Part& part)
      -> std::pair<int, TimePoint>;
  [[nodiscard]] static auto MakeVerdict(std::uint64_t id, const Part& part,
                                        TimePoint now) -> Verdict;

  Random random_;
  std::map<std::uint64_t, Part> parts_;
  std::unordered_map<std::uint64_t, Begun> begun_;
  std::list<std::uint64_t> begun_order_;  // most recent first
  std::vector<std::uint64_t> acquitted_;
  bool news_ = false;
  bool relayed_news_ = false;
};

}  // namespace baobab::gateway
