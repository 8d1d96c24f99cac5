#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_base/time_types.h"
#include "baobab_gateway/manifest.h"
#include "baobab_gateway/model_demand.h"
#include "baobab_gateway/prefill_speed.h"
#include "baobab_gateway/prefix_memory.h"
#include "baobab_gateway/target_health.h"
#include "baobab_gateway/target_load.h"
#include "baobab_gateway/target_registry.h"
#include "baobab_gateway/work_item.h"

namespace baobab::gateway {

/// Limits and weights of dispatch decisions.
struct DispatchSettings {
  /// Unread prompt tokens that may be ahead of a request at an engine, as time.
  /// Half a long prompt: with the one that follows, a response that runs at
  /// the engine gets its next event within the pause that callers accept.
  Duration prefill_backlog_ = std::chrono::milliseconds(60);
  /// Part of an engine's cache that may be promised to requests. The rest
  /// covers prompts that turn out longer and work that peers have just sent.
  double max_cache_share_ = 0.9;
  /// Time added to the estimate of a target in another zone: the price of its
  /// bytes, expressed as delay.
  Duration other_zone_penalty_ = std::chrono::milliseconds(4);
  /// Estimated share of an engine's time for reading prompts above which it
  /// gets no more of them. The estimate counts parts that turn out to be kept,
  /// so a full engine is estimated at 1 or more.
  double busy_share_ = 1.0;
  /// Weight of the time that the rest of a response takes, against the time to
  /// its first token.
  double completion_weight_ = 0.2;
  /// Weight of the time for which reading the prompt holds up the requests that
  /// already run at the target.
  double hold_up_weight_ = 0.05;
  /// Factor on the estimate of a target all of whose requests fail.
  double failure_weight_ = 6;
  /// Time that a request spends ahead of its first token in any case, besides
  /// the reading of its own prompt: one that has less left before its objective
  /// counts as late.
  Duration start_lead_ = std::chrono::milliseconds(200);
  /// Every nth start goes to a request that is already late. More of them make
  /// the others late in turn at the crest; the rest of the late ones goes when
  /// nothing else waits.
  unsigned late_every_ = 12;
  /// Targets at which the shared parts of a prompt are taken as kept: the first
  /// ones by a hash that all instances compute alike. With more than one the
  /// parts are read at each of them.
  std::size_t affinity_target_count_ = 1;
  /// Part of the targets that hold a model which is kept for short prompts. A
  /// long prompt that is read holds up every stream at its target; responses
  /// to short prompts last longest and suffer most. 0: no such part.
  double reserved_share_ = 0.35;
  /// Share of a target's time for reading prompts below which the time to the
  /// first token tells the speed of its model. At a busy target it tells of
  /// work that is not known here: the speed came out up to nine times too low,
  /// and the placement took the busiest models for far heavier than they were.
  double max_sampling_utilization_ = 0.5;
  /// Peers hear at once of a prompt that takes longer than this to read; those
  /// of shorter ones wait for the next report.
  Duration immediate_report_threshold_ = std::chrono::milliseconds(20);
  /// A prompt that takes longer than this to read in full is long.
  Duration long_prompt_threshold_ = std::chrono::milliseconds(80);
  /// Cost of a long prompt at a target kept for short ones, and of a short one
  /// elsewhere, as delay.
  Duration long_at_reserved_penalty_ = std::chrono::milliseconds(400);
  Duration short_at_unreserved_penalty_ = std::chrono::milliseconds(150);
  /// Age in the queue that one step of priority is worth.
  Duration priority_step_ = std::chrono::milliseconds(300);
};

/// A request that may be sent to a target now.
struct Assignment {
  WorkId id_ = 0;
  std::string target_;
  Duration predicted_{};    ///< Weighed cost by which the target was chosen.
  Duration first_token_{};  ///< Expected time to the first token.
  Duration step_{};         ///< Expected time per token after it.
  TargetWork busy_;         ///< Work at the target before this request.
};

/// A request that cannot be served in time; it has not been sent.
struct Rejection {
  WorkId id_ = 0;
  std::string reason_;
  Duration retry_after_{};  ///< When a repetition has a chance.
};

/// An adapter that waiting requests need and no target holds.
struct AdapterNeed {
  std::string service_;
  std::string model_;
  std::string adapter_;
  std::uint32_t waiting_ = 0;
  auto operator==(const AdapterNeed&) const -> bool = default;
};

/// An adapter that requests of this instance use at a target.
struct AdapterUse {
  std::string target_;
  std::string model_;
  std::string adapter_;
  auto operator<=>(const AdapterUse&) const = default;
};

/// Decides which waiting request goes to which target, and when.
///
/// Work waits here and not at the targets. A target gets a request only if it
/// can start it soon: by free batch slots, by cache memory and by the prompt
/// tokens ahead of it, counted over all instances. Among the requests that can
/// still begin in time, the one that must begin first goes first; late ones
/// keep a share. A request that no target can begin before its time limit is
/// rejected at once.
///
/// Answers: bursts of one kind of request, the loss of targets under load, and
/// several instances that fill the same targets between two exchanges of loads.
class Dispatcher {
 public:
  /// `seed` makes instances with the same picture choose differently.
  Dispatcher(DispatchSettings settings, std::string zone,
             std::uint64_t seed = 1)
      : settings_(settings), zone_(std::move(zone)), random_(seed) {}

  /// Sets the services in force.
  auto SetManifest(const Manifest& manifest) -> void;

  /// Sets the targets that may get work.
  auto SetTargets(const TargetRegistry& registry, TimePoint now) -> void;

  /// Adds a request to the queue, or rejects it if it cannot be served in time.
  [[nodiscard]] auto Submit(WorkItem item, TimePoint now)
      -> std::optional<Rejection>;

  /// Returns how long `item` is expected to wait, or nothing if no target holds
  /// what it needs.
  [[nodiscard]] auto PredictedWait(const WorkItem& item, TimePoint now) const
      -> std::optional<Duration>;

  /// Returns the requests to send now.
  [[nodiscard]] auto Assign(TimePoint now) -> std::vector<Assignment>;

  /// Removes the waiting requests that can no longer be served in time.
  [[nodiscard]] auto RejectHopeless(TimePoint now) -> std::vector<Rejection>;

  /// The target began to answer.
  auto OnFirstToken(WorkId id, TimePoint now) -> void;
  /// The target served the request to its end.
  auto OnServed(WorkId id) -> void;
  /// The target answered with an error of its own.
  auto OnErrorResponse(WorkId id) -> void;
  /// The target could not be reached or broke off.
  auto OnTargetFailed(WorkId id, TimePoint now) -> void;
  /// The target refused the request as full or not holding what it needs.
  auto OnTargetRefused(WorkId id, bool lacks_model, TimePoint now) -> void;
  /// The request is no longer wanted or finished otherwise.
  auto Forget(WorkId id) -> void;

  /// Records what `peer` has in progress.
  auto OnPeerWork(const std::string& peer, WorkByTarget work, TimePoint now)
      -> void;
  /// Records what `peer` has in progress at one target.
  auto OnPeerTargetWork(const std::string& peer, const std::string& target,
                        const TargetWork& work, TimePoint now) -> void {
    peers_.UpdateTarget(peer, target, work, now);
  }
  /// Forgets reports of peers that are too old to count.
  auto ExpirePeers(TimePoint now) -> void { peers_.Expire(now); }
  /// The holder of orders says that `target` has loaded an adapter.
  auto OnAdapterLoaded(const std::string& target, const std::string& model,
                       const std::string& adapter) -> void;
  /// The holder of orders is about to remove an adapter, or a model if
  /// `adapter` is empty, from `target`.
  auto OnRemoval(const std::string& target, const std::string& model,
                 const std::string& adapter) -> void;

  /// What this instance has in progress, for its peers.
  [[nodiscard]] auto OwnWork(TimePoint now) const -> WorkByTarget;
  /// What this instance has in progress at `target`.
  [[nodiscard]] auto OwnWorkAt(const std::string& target, TimePoint now) const
      -> TargetWork;
  /// Targets to which a long prompt was sent, or which have read one, since the
  /// last call.
  [[nodiscard]] auto TakeChangedTargets() -> std::set<std::string> {
    return std::exchange(changed_targets_, {});
  }
  /// Adapters that waiting requests need.
  [[nodiscard]] auto AdapterNeeds() const -> std::vector<AdapterNeed>;
  /// Adapters in use now or since the last call.
  [[nodiscard]] auto TakeAdapterUses() -> std::vector<AdapterUse>;
  /// Demand by model, as shares of an engine's time.
  [[nodiscard]] auto Demand(TimePoint now) -> std::map<std::string, double>;
  [[nodiscard]] auto waiting() const -> std::size_t { return queue_.size(); }
  [[nodiscard]] auto running() const -> std::size_t { return sent_.size(); }
  /// Time that the longest-waiting request has waited.
  [[nodiscard]] auto OldestWait(TimePoint now) const -> Duration;

 private:
  struct Target {
    TargetRegistration registration_;
    TargetHealth health_;
    PrefixMemory prefix_memory_;
    bool registered_ = false;
    std::uint64_t id_hash_ = 0;  // hash of its id
    std::set<std::pair<std::string, std::string>> loaded_;
    std::set<std::pair<std::string, std::string>> missing_;
    TimePoint full_until_{};
  };
  struct Sent {
    WorkItem item_;
    std::string target_;
    TargetWork work_;
    std::uint64_t pending_prefill_tokens_ =
        0;  // unread at the target, with its own
    TimePoint at_{};
    bool first_token_ = false;
    bool measures_speed_ =
        false;  // the target had no prompt to read and was not busy
  };
  struct Choice {
    Target* target_ = nullptr;
    Duration estimate_ = Duration::max();
    Duration prefill_{};
    Duration first_token_{};
    Duration step_{};
    TargetWork busy_;
    std::uint64_t pending_prefill_tokens_ = 0;
  };

  struct Waiting {
    WorkItem item_;
    std::vector<std::uint64_t> chain_;  // hashes of its prompt's prefixes
  };

  [[nodiscard]] auto Choose(const Waiting& waiting, TimePoint now) -> Choice;
  /// A target that holds what a request needs.
  struct Candidate {
    Target* target_ = nullptr;
    bool reserved_ = false;      // for short prompts
    bool has_affinity_ = false;  // keeps the shared parts of the prompt
  };
  [[nodiscard]] auto CandidatesFor(const WorkItem& item)
      -> std::vector<Candidate>;
  /// Marks the targets that are reserved for short prompts. Returns true if
  /// there are any.
  auto MarkReserved(std::vector<Candidate>& candidates) const -> bool;
  /// Marks the homes of the prompt among the candidates that are reserved or
  /// not, as `reserved` says; among all if it is empty.
  auto MarkAffinityTargets(const Waiting& waiting, std::optional<bool> reserved,
                           std::vector<Candidate>& candidates) const -> void;
  [[nodiscard]] auto HasModelAndAdapter(const Target& target,
                                        const WorkItem& item) const -> bool;
  /// Returns true if any target that takes work holds what the item needs.
  [[nodiscard]] auto IsAvailable(const WorkItem& item) const -> bool;
  [[nodiscard]] auto HasCapacity(const Target& target, const TargetWork& busy,
                                 const WorkItem& item, TimePoint now) const
      -> bool;
  [[nodiscard]] auto WorkAt(const std::string& target, TimePoint now) const
      -> TargetWork;
  [[nodiscard]] auto StepTime(const std::string& model,
                              const TargetWork& busy) const -> Duration;
  [[nodiscard]] auto MinTimeToFirstToken(const WorkItem& item) const
      -> Duration;
  [[nodiscard]] auto MinServiceTime(const WorkItem& item) const -> Duration;
  /// Returns how many tokens of the prompt `target` probably keeps.
  [[nodiscard]] static auto KeptTokens(const Target& target,
                                       const Waiting& waiting,
                                       bool has_affinity) -> std::uint32_t;
  auto RecordSend(const Waiting& waiting, const Choice& choice, TimePoint now)
      -> void;
  auto Release(WorkId id) -> std::optional<Sent>;
  [[nodiscard]] auto FindEngine(const std::string& service) const
      -> const EngineSpec*;

  DispatchSettings settings_;
  std::string zone_;
  Random random_;
  std::map<std::string, Service> services_;
  std::map<std::string, Target> targets_;
  std::map<WorkId, Waiting> queue_;
  std::map<WorkId, Sent> sent_;
  WorkByTarget own_;
  std::set<AdapterUse> adapter_uses_;
  std::set<std::string> changed_targets_;
  std::map<std::string, PrefillShare> prefill_shares_;
  PeerLoad peers_;
  PrefillSpeed prefill_speed_;
  ModelDemand demand_;
  unsigned start_count_ = 0;
};

}  // namespace baobab::gateway
