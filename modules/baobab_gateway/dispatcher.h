#pragma once

#include <algorithm>
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
#include "baobab_gateway/overload_policy.h"
#include "baobab_gateway/poison_part_detector.h"
#include "baobab_gateway/prefill_speed.h"
#include "baobab_gateway/prefix_cache_estimate.h"
#include "baobab_gateway/service_time_estimate.h"
#include "baobab_gateway/stated_load.h"
#include "baobab_gateway/target_health.h"
#include "baobab_gateway/target_load.h"
#include "baobab_gateway/target_registry.h"
#include "baobab_gateway/target_speed.h"
#include "baobab_gateway/work_item.h"

namespace baobab::gateway {

/// Limits, weights and penalties of the dispatch decision.
struct DispatchSettings {
  /// Upper bound on the pending prefill at a target, as time; a target with
  /// more gets no new request. The value is half the prefill time of a long
  /// prompt. A response that the target already generates can be delayed by
  /// this backlog and by the prefill of one more prompt, which still keeps the
  /// gap between two of its events within the time that callers accept.
  Duration max_prefill_backlog_ = std::chrono::milliseconds(60);
  /// Upper bound on the share of a target's cache that may be reserved for
  /// requests, 0 to 1. The rest is a margin for prompts that are longer than
  /// estimated and for requests that peers have sent but not yet reported.
  double max_cache_share_ = 0.9;
  /// Time added to the cost of a target in another zone, as a penalty for the
  /// traffic between zones.
  Duration other_zone_penalty_ = std::chrono::milliseconds(4);
  /// Upper bound on the estimated prefill utilization of a target, the share of
  /// its time that goes to prefill; a target above it gets no new prompt. The
  /// estimate includes parts of prompts that turn out to be cached, so a fully
  /// loaded target is estimated at 1 or more.
  double max_prefill_utilization_ = 1.0;
  /// Weight, in the cost of a target, of the time between the first token and
  /// the end of a response, relative to the time to the first token.
  double completion_weight_ = 0.2;
  /// Weight, in the cost of a target, of the delay that the prefill causes to
  /// the requests that already run there.
  double interference_weight_ = 0.05;
  /// Relative increase of the cost of a target whose requests all fail; with a
  /// lower failure share the increase is proportionally smaller.
  double failure_weight_ = 6;
  /// Number of sends per late request: every nth request that is sent is one
  /// that is already late. A smaller value would delay on-time requests at peak
  /// load until they are late as well. Further late requests are sent only when
  /// no on-time request can be sent.
  unsigned sends_per_late_request_ = 12;
  /// Number of affinity targets of a prefix: the targets at which the shared
  /// parts of a prompt are assumed to be cached. They are the first ones in the
  /// order of a hash of target and prefix, which has the same result in every
  /// instance. With more than one affinity target, each of them prefills the
  /// shared parts.
  std::size_t affinity_target_count_ = 1;
  /// Share of the targets with a model that is reserved for short prompts; 0
  /// disables the reservation. The prefill of a long prompt delays every stream
  /// at its target; responses to short prompts are affected most because they
  /// last longest.
  double reserved_share_ = 0.35;
  /// Prefill utilization of a target, 0 to 1, below which the time to the first
  /// token is used to estimate the prefill speed of a model. At a target with a
  /// higher utilization, that time includes load that is unknown to this
  /// instance. The estimated speed would be up to nine times too low, and
  /// placement would greatly overestimate the demand of the models with the
  /// highest load.
  double max_sampled_utilization_ = 0.5;
  /// Prefill time above which a prompt is reported to peers immediately;
  /// shorter ones wait for the next periodic report.
  Duration immediate_report_threshold_ = std::chrono::milliseconds(20);
  /// Prefill time of the whole prompt, without caching, above which the prompt
  /// counts as long.
  Duration long_prompt_threshold_ = std::chrono::milliseconds(80);
  /// Times added to the cost of a target: the first for a long prompt at a
  /// target that is reserved for short prompts, the second for a short prompt
  /// at an unreserved target.
  Duration long_prompt_misplacement_penalty_ = std::chrono::milliseconds(400);
  Duration short_prompt_misplacement_penalty_ = std::chrono::milliseconds(150);
  /// Predict the wait of a request also from the slots and the cache memory of
  /// its targets, not only from the pending prefill.
  bool predict_wait_by_slots_ = true;
  /// Factor on the wait that follows from slots. A smaller value rejects fewer
  /// requests that would have been served late.
  double slot_wait_factor_ = 0.6;
  /// Let a target fetch the shared parts of a prompt from the cache of another
  /// target instead of prefilling them.
  bool fetch_cached_parts_ = true;
  /// Minimum number of tokens that are fetched. The prefill of fewer takes
  /// about as long as a transfer.
  std::uint32_t min_fetched_tokens_ = 512;
  /// Time of a transfer that does not depend on its size; at the sites 1 to 3
  /// ms. A transfer between zones takes twice as long.
  Duration fetch_setup_time_ = std::chrono::milliseconds(3);
  /// Share of the prefill of fetched parts that is still expected at the
  /// target, because the source may have evicted them.
  double fetch_miss_share_ = 0.2;
  /// Refuse requests with prompt parts that crash targets.
  bool refuse_poison_parts_ = true;
  /// Take the learned speed of each target into account.
  bool use_target_speed_ = true;
  /// Long-term time factor above which a target counts as slow: short prompts
  /// get the slow targets first. Must exceed the differences that noise causes
  /// between targets of equal speed.
  double slow_target_factor_ = 1.35;
  /// Share of slow targets from which on the learned speeds are used. Among
  /// targets of equal speed, the factors follow load and only misdirect.
  double min_slow_share_ = 0.1;
  /// Order of the queue, and what is turned away.
  OverloadPolicy::Settings overload_;
};

/// A request and the target to which it is to be sent now.
struct Assignment {
  WorkId id_ = 0;
  std::string target_;
  Duration cost_{};         ///< Weighted cost by which the target was chosen.
  Duration first_token_{};  ///< Expected time to the first token.
  Duration token_time_{};   ///< Expected time per further token.
  TargetLoad load_before_;  ///< Load of the target before this request.
  /// Target from whose cache the target fetches parts of the prompt; empty if
  /// none.
  std::string cache_source_;
};

/// A request that is not sent because it cannot be served in time.
struct Rejection {
  WorkId id_ = 0;
  std::string reason_;
  Duration retry_after_{};    ///< Minimum useful delay before a retry.
  Duration expected_wait_{};  ///< If that is the reason.
  Duration required_time_{};  ///< From the start to the end of the response.
};

/// An adapter that waiting requests need and no target has loaded.
struct MissingAdapter {
  std::string service_;
  std::string model_;
  std::string adapter_;
  std::uint32_t waiting_ = 0;
  auto operator==(const MissingAdapter&) const -> bool = default;
};

/// An adapter that requests of this instance use at a target.
struct AdapterUse {
  std::string target_;
  std::string model_;
  std::string adapter_;
  auto operator<=>(const AdapterUse&) const = default;
};

/// Schedules the requests of this instance: decides which waiting request goes
/// to which target, and when.
///
/// Requests wait in this queue and not at the targets. A request is sent only
/// to a target that can start it soon, according to the free batch slots, cache
/// memory and pending prefill that remain after the load of all instances.
/// Requests that can still meet their latency objective are sent in the order
/// of the objective, adjusted by priority. At every `sends_per_late_request_`th
/// send, a request that will miss its objective goes first, which keeps a fixed
/// share of the sends for late requests. A request that no target can serve
/// before its deadline is rejected immediately.
///
/// Handles bursts of one kind of request, the loss of targets under load, and
/// several instances that send requests to the same targets between two
/// exchanges of load reports.
class Dispatcher {
 public:
  /// Creates a dispatcher for an instance in `zone`. With different seeds,
  /// instances with the same state choose different targets.
  Dispatcher(DispatchSettings settings, std::string zone,
             std::uint64_t seed = 1)
      : settings_(settings),
        overload_(settings.overload_),
        zone_(std::move(zone)),
        random_(seed),
        poison_parts_(seed) {}

  /// Replaces the known services by those of `manifest`, and updates the cache
  /// capacity of their targets.
  auto SetManifest(const Manifest& manifest) -> void;

  /// Replaces the targets that may get requests by the entries of `registry`.
  /// The health, cached prefixes and announced adapters of a target that
  /// restarted are reset. Load reports of peers that are older than
  /// PeerLoad::kMaxReportAge are removed.
  auto SetTargets(const TargetRegistry& registry, TimePoint now) -> void;

  /// Adds a request to the queue. Returns a rejection instead if it cannot be
  /// served before its deadline.
  [[nodiscard]] auto Submit(WorkItem item, TimePoint now)
      -> std::optional<Rejection>;

  /// Returns how long `item` is expected to wait, or nothing if no usable
  /// target has loaded the model and adapter it needs.
  [[nodiscard]] auto PredictedWait(const WorkItem& item, TimePoint now) const
      -> std::optional<Duration>;

  /// Removes the requests that can be started now from the queue and returns
  /// them with their targets. The caller sends them and reports the outcome
  /// through Forget() or one of the On... functions below.
  [[nodiscard]] auto Assign(TimePoint now) -> std::vector<Assignment>;

  /// Removes the waiting requests that can no longer be served before their
  /// deadline, and returns a rejection for each.
  [[nodiscard]] auto RejectInfeasible(TimePoint now) -> std::vector<Rejection>;

  /// Records that the target sent the first token of the response. If the
  /// target was lightly loaded when the request was sent, the time since then
  /// updates the estimated prefill speed of the model.
  auto OnFirstToken(WorkId id, TimePoint now) -> void;
  /// Records that the target sent `count` events of the response after the
  /// first. The time between events updates the speed of the target if it was
  /// lightly loaded meanwhile.
  auto OnEvents(WorkId id, std::uint32_t count, TimePoint now) -> void;
  /// Returns true if the target of a sent request has sent its first token.
  [[nodiscard]] auto HasBegun(WorkId id) const -> bool {
    const auto found = sent_.find(id);
    return found != sent_.end() && found->second.first_token_;
  }
  /// Records the load that `target` stated in a response.
  auto OnStatedLoad(const std::string& target, const StatedLoad& load,
                    TimePoint now) -> void;
  /// Records that the target completed the response.
  auto OnServed(WorkId id, TimePoint now) -> void;
  /// Sets how many instances send requests to the same targets, including this
  /// one. Their queues are assumed to be as long as that of this instance.
  auto SetInstanceCount(std::size_t instances) -> void {
    instance_count_ = std::max<std::size_t>(1, instances);
  }
  /// Records that the target responded with an error. Raises the failure share
  /// of the target but starts no backoff period.
  auto OnErrorResponse(WorkId id) -> void;
  /// Records that the target could not be reached or interrupted the response.
  /// Starts a backoff period for the target.
  auto OnTargetFailed(WorkId id, TimePoint now) -> void;
  /// Records that the target interrupted the response, as in a crash. If it had
  /// not begun to respond, this is evidence against the parts of the prompt.
  auto OnTargetBrokeOff(WorkId id, TimePoint now) -> void;
  /// Returns true if the prompt of a sent request is not under so much
  /// suspicion that it must not be repeated.
  [[nodiscard]] auto MayRepeat(const Generation& generation) const -> bool {
    return !settings_.refuse_poison_parts_ ||
           poison_parts_.MayRepeat(generation);
  }
  /// Returns the verdicts on prompt parts since the last call.
  [[nodiscard]] auto TakeVerdicts()
      -> std::vector<PoisonPartDetector::Verdict> {
    return std::exchange(new_verdicts_, {});
  }
  /// Returns the sent requests with a convicted part to which their targets
  /// have not begun to respond. The caller should cancel them.
  [[nodiscard]] auto FindConvicted(TimePoint now) const -> std::vector<WorkId>;
  /// Returns the detector, to exchange evidence with peers.
  [[nodiscard]] auto poison_parts() -> PoisonPartDetector& {
    return poison_parts_;
  }
  /// Records that the target rejected the request. With `model_not_loaded`, the
  /// target gets no further requests for that model and adapter until its
  /// registered models change or a load is announced; otherwise it counts as
  /// full for a short time.
  auto OnTargetRefused(WorkId id, bool model_not_loaded, TimePoint now) -> void;
  /// Records that `target` rejected a request and wants no other one of this
  /// instance for `time`.
  auto OnRetryAfter(const std::string& target, Duration time, TimePoint now)
      -> void;
  /// Removes a waiting or sent request, for example one that was canceled,
  /// without an effect on the health of its target.
  auto Forget(WorkId id) -> void;

  /// Replaces the reported load of `peer` at all targets.
  auto OnPeerLoad(const std::string& peer, LoadByTarget load, TimePoint now)
      -> void;
  /// Replaces the reported load of `peer` at one target.
  auto OnPeerTargetLoad(const std::string& peer, const std::string& target,
                        const TargetLoad& load, TimePoint now) -> void {
    peers_.UpdateTarget(peer, target, load, now);
  }
  /// Records that the process was suspended for `time`: the load reports are
  /// older, and the callers of waiting requests have less time left.
  auto OnSuspended(Duration time) -> void;
  /// Removes the load reports of peers that are older than
  /// PeerLoad::kMaxReportAge.
  auto ExpirePeers(TimePoint now) -> void { peers_.Expire(now); }
  /// Records that `target` has loaded an adapter, as announced by the order
  /// lease holder.
  auto OnAdapterLoaded(const std::string& target, const std::string& model,
                       const std::string& adapter) -> void;
  /// Records that an adapter, or a model if `adapter` is empty, is about to be
  /// unloaded from `target`, as announced by the order lease holder.
  auto OnUnloadAnnounced(const std::string& target, const std::string& model,
                         const std::string& adapter) -> void;

  /// Returns the load that this instance has at all targets, for the reports to
  /// its peers.
  [[nodiscard]] auto OwnLoad(TimePoint now) const -> LoadByTarget;
  /// Returns the load that this instance has at `target`.
  [[nodiscard]] auto OwnLoadAt(const std::string& target, TimePoint now) const
      -> TargetLoad;
  /// Returns the targets whose load has changed so much since the last call
  /// that it must be reported to peers before the next periodic report: a long
  /// prompt was sent to the target or prefilled there, or half of the slots of
  /// a target without models are in use.
  [[nodiscard]] auto TakeChangedTargets() -> std::set<std::string> {
    return std::exchange(changed_targets_, {});
  }
  /// Returns the missing adapters: those that waiting requests need and no
  /// available target has loaded.
  [[nodiscard]] auto MissingAdapters() const -> std::vector<MissingAdapter>;
  /// Returns the adapters that requests of this instance use now or have used
  /// since the last call.
  [[nodiscard]] auto TakeAdapterUses() -> std::vector<AdapterUse>;
  /// Returns the demand for each model as a multiple of the capacity of one
  /// engine: 1 is the full time of one engine.
  [[nodiscard]] auto DemandByModel(TimePoint now)
      -> std::map<std::string, double>;
  [[nodiscard]] auto waiting() const -> std::size_t { return queue_.size(); }
  [[nodiscard]] auto running() const -> std::size_t { return sent_.size(); }
  /// Returns the time that the oldest waiting request has spent in the queue,
  /// or zero if the queue is empty.
  [[nodiscard]] auto OldestWait(TimePoint now) const -> Duration;

 private:
  struct Target {
    TargetRegistration registration_;
    TargetHealth health_;
    PrefixCacheEstimate prefix_cache_;
    TargetSlowdown slowdown_;
    bool registered_ = false;
    /// Hash of the target id; determines which targets are reserved.
    std::uint64_t id_hash_ = 0;
    /// Changes since the target last registered its models: `loaded_` are the
    /// models and adapters announced as loaded, `missing_` those announced as
    /// unloaded or reported as missing. An empty adapter stands for the model
    /// itself.
    std::set<std::pair<std::string, std::string>> loaded_;
    std::set<std::pair<std::string, std::string>> missing_;
    /// Until then it gets no requests: it rejected one.
    TimePoint full_until_{};
  };
  struct SentRequest {
    WorkItem item_;
    std::string target_;
    TargetLoad load_;
    std::uint64_t pending_prefill_tokens_ = 0;  // including this prompt
    TimePoint sent_at_{};
    bool first_token_ = false;
    bool is_trial_ = false;  // of a convicted part of its prompt
    /// Sent while the target was lightly loaded: no pending prefill, low
    /// prefill utilization. Only such requests are samples of the prefill
    /// speed.
    bool measures_speed_ = false;
    /// Time of the last event after which the target had no pending prefill.
    std::optional<TimePoint> undisturbed_since_;
  };
  struct Choice {
    Target* target_ = nullptr;
    Duration cost_ = Duration::max();
    Duration prefill_{};
    Duration first_token_{};
    Duration token_time_{};
    TargetLoad target_load_;
    std::uint64_t pending_prefill_tokens_ = 0;
    const Target* cache_source_ = nullptr;
  };
  /// The target that probably has most of a prompt in its cache.
  struct CacheSource {
    const Target* target_ = nullptr;
    std::uint32_t tokens_ = 0;
  };

  struct PendingRequest {
    WorkItem item_;
    std::vector<std::uint64_t> prefix_hashes_;  // of the prompt
  };

  [[nodiscard]] auto Choose(const PendingRequest& waiting, TimePoint now)
      -> Choice;
  /// A target that may serve a request.
  struct Candidate {
    Target* target_ = nullptr;
    bool reserved_ = false;      // reserved for short prompts
    bool has_affinity_ = false;  // affinity target of the prefix
  };
  [[nodiscard]] auto CandidatesFor(const WorkItem& item)
      -> std::vector<Candidate>;
  /// Returns the registered targets of the item's service that are not leaving
  /// and may have loaded its model, in the order of their ids.
  [[nodiscard]] auto TargetsFor(const WorkItem& item) const
      -> const std::vector<Target*>&;
  /// Rebuilds the index that TargetsFor reads. Must be called when targets or
  /// the models that they have loaded change.
  auto RebuildIndex() -> void;
  /// Marks the candidates that are reserved for short prompts. Returns false if
  /// there are no reserved ones.
  auto MarkReserved(std::vector<Candidate>& candidates) const -> bool;
  /// Marks the affinity targets of the prompt's shared prefix: among the
  /// reserved candidates if `reserved` is true, among the unreserved ones if it
  /// is false, among all candidates if it is empty.
  auto MarkAffinityTargets(const PendingRequest& waiting,
                           std::optional<bool> reserved,
                           std::vector<Candidate>& candidates) const -> void;
  /// Returns the source from which other targets can fetch parts of the prompt;
  /// no target if engines cannot fetch or none has enough of it.
  [[nodiscard]] auto FindCacheSource(const PendingRequest& waiting,
                                     const std::vector<Candidate>& candidates,
                                     TimePoint now) const -> CacheSource;
  /// Returns the expected time until the prompt is prefilled at a target that
  /// has `cached` tokens of it, and sets `fetches` if it should fetch further
  /// ones from `source`. Prefill takes `time_factor` times as long as at an
  /// average target.
  [[nodiscard]] auto PrefillTimeAt(const Target& target, std::uint32_t cached,
                                   const WorkItem& item,
                                   const CacheSource& source,
                                   double time_factor, bool& fetches) const
      -> Duration;
  /// Returns true if the target has loaded the model and adapter of `item` and
  /// has the software version that it needs.
  [[nodiscard]] auto CanServe(const Target& target, const WorkItem& item) const
      -> bool;
  /// Returns a rejection if `item` needs a software version of which no target
  /// is left, or whose targets lack its model or adapter while others have it:
  /// nobody would load it there.
  [[nodiscard]] auto RejectWithoutVersion(const WorkItem& item) const
      -> std::optional<Rejection>;
  /// Returns true if any registered target that is not leaving has loaded the
  /// model and adapter of `item`.
  [[nodiscard]] auto IsLoadedAtAnyTarget(const WorkItem& item) const -> bool;
  /// Returns a rejection if `item` contains a convicted part.
  [[nodiscard]] auto RejectPoison(const WorkItem& item, TimePoint now) const
      -> std::optional<Rejection>;
  /// Returns when the first target that may serve `item` takes requests again;
  /// `now` if one does, or if there is none.
  [[nodiscard]] auto EarliestOpening(const WorkItem& item, TimePoint now) const
      -> TimePoint;
  [[nodiscard]] auto HasCapacity(const Target& target, const TargetLoad& load,
                                 const WorkItem& item, TimePoint now) const
      -> bool;
  /// Returns by which factor work for a model takes longer at `target` at `now`
  /// than at an average one.
  [[nodiscard]] auto TimeFactorAt(const std::string& target,
                                  TimePoint now) const -> double {
    return is_uneven_ ? target_speed_.FactorAt(target, now) : 1;
  }
  [[nodiscard]] auto LoadAt(const std::string& target, TimePoint now) const
      -> TargetLoad;
  [[nodiscard]] auto StepTime(const std::string& model,
                              const TargetLoad& load) const -> Duration;
  /// Returns the prefill time of the part of the prompt that is not shared.
  [[nodiscard]] auto OwnPrefillTime(const WorkItem& item) const -> Duration;
  [[nodiscard]] auto MinRequiredTime(const WorkItem& item) const
      -> RequiredTime;
  /// Returns how many requests like `item` a target of its service can run at
  /// once, by slots and cache memory.
  [[nodiscard]] auto ConcurrentRequests(const Target& target,
                                        const WorkItem& item) const -> double;
  /// Returns how many tokens of the prompt are probably cached at `target`.
  [[nodiscard]] static auto CachedTokens(const Target& target,
                                         const PendingRequest& waiting,
                                         bool has_affinity) -> std::uint32_t;
  /// Updates at most once per second whether the speeds of targets differ.
  auto UpdateUnevenness(TimePoint now) -> void;
  auto RecordSend(const PendingRequest& waiting, const Choice& choice,
                  TimePoint now) -> void;
  auto Release(WorkId id) -> std::optional<SentRequest>;
  [[nodiscard]] auto FindEngine(const std::string& service) const
      -> const EngineSpec*;

  DispatchSettings settings_;
  OverloadPolicy overload_;
  std::string zone_;
  Random random_;
  std::map<std::string, Service> services_;
  std::map<std::string, Target> targets_;
  // Usable targets by service and model; with an empty model, all of a service.
  // In a fleet of hundreds of targets, a decision must not search all of them.
  std::map<std::pair<std::string, std::string>, std::vector<Target*>>
      targets_by_model_;
  std::map<WorkId, PendingRequest> queue_;
  std::map<WorkId, SentRequest> sent_;
  LoadByTarget own_;
  std::set<AdapterUse> adapter_uses_;
  std::set<std::string> changed_targets_;
  std::map<std::string, PrefillUtilization> prefill_utilizations_;
  PeerLoad peers_;
  PrefillSpeed prefill_speed_;
  TargetSpeed target_speed_;
  ModelDemand demand_;
  ServiceTimeEstimate service_times_;
  PoisonPartDetector poison_parts_;
  std::vector<PoisonPartDetector::Verdict> new_verdicts_;
  /// No target that stated a time is paused after this.
  TimePoint last_pause_ends_at_{};
  std::size_t instance_count_ = 1;
  unsigned start_count_ = 0;
  bool is_uneven_ = false;  // enough targets are slow; see min_slow_share_
  TimePoint unevenness_updated_at_{};
};

}  // namespace baobab::gateway
