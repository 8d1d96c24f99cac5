#include "baobab_gateway/dispatcher.h"

// Target selection and the prediction of waiting times.

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <tuple>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::gateway {
namespace {

/// Assumed duration of a call without a model, for the expected wait and the
/// cost of a target.
constexpr Duration kPlainCallTime = std::chrono::milliseconds(60);

auto Scaled(Duration time, double factor) -> Duration {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

auto SharedPrefixHash(const std::vector<std::uint64_t>& prefix_hashes)
    -> std::uint64_t {
  // The last part of a prompt is not shared with other requests.
  return prefix_hashes.size() < 2 ? 0 : prefix_hashes[prefix_hashes.size() - 2];
}

}  // namespace

auto Dispatcher::CanServe(const Target& target, const WorkItem& item) const
    -> bool {
  if (item.version_ &&
      target.registration_.software_version_ != *item.version_) {
    return false;
  }
  const auto& generation = item.generation_;
  if (generation.model_.empty()) {
    return true;
  }
  const std::pair<std::string, std::string> model(generation.model_, "");
  const std::pair<std::string, std::string> adapter(generation.model_,
                                                    generation.adapter_);
  if (target.missing_.count(model) > 0 || target.missing_.count(adapter) > 0) {
    return false;
  }
  const auto& models = target.registration_.models_;
  const auto found = std::find_if(models.begin(), models.end(),
                                  [&generation](const ResidentModel& resident) {
                                    return resident.name_ == generation.model_;
                                  });
  if (found == models.end() && target.loaded_.count(model) == 0) {
    return false;
  }
  if (generation.adapter_.empty() || target.loaded_.count(adapter) > 0) {
    return true;
  }
  return found != models.end() &&
         std::find(found->adapters_.begin(), found->adapters_.end(),
                   generation.adapter_) != found->adapters_.end();
}

auto Dispatcher::HasCapacity(const Target& target, const TargetLoad& load,
                             const WorkItem& item, TimePoint now) const
    -> bool {
  if (now < target.full_until_) {
    return false;
  }
  if (load.running_ >= target.registration_.slots_) {
    return false;
  }
  const auto* engine = FindEngine(item.service_);
  if (engine == nullptr || load.running_ == 0) {
    return true;
  }
  const auto& generation = item.generation_;
  const auto reservable =
      static_cast<double>(engine->cache_tokens_) * settings_.max_cache_share_;
  return load.cache_tokens_ + RequiredCacheTokens(generation) <= reservable &&
         (Duration(load.pending_prefill_us_) <=
              settings_.max_prefill_backlog_ ||
          overload_.FitsAsShortPrompt(Duration(load.pending_prefill_us_),
                                      OwnPrefillTime(item))) &&
         load.prefill_utilization_permille_ <=
             settings_.max_prefill_utilization_ * 1000;
}

auto Dispatcher::LoadAt(const std::string& target, TimePoint now) const
    -> TargetLoad {
  auto load = peers_.At(target);
  load += OwnLoadAt(target, now);
  return load;
}

auto Dispatcher::StepTime(const std::string& model,
                          const TargetLoad& load) const -> Duration {
  constexpr double kMinIdleShare = 0.05;
  const auto idle =
      std::max(kMinIdleShare, 1 - load.prefill_utilization_permille_ / 1000.0);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(
          prefill_speed_.StepTime(model, load.running_).count()) /
      idle));
}

auto Dispatcher::OwnPrefillTime(const WorkItem& item) const -> Duration {
  const auto& generation = item.generation_;
  const auto own_tokens = generation.parts_.empty()
                              ? generation.prompt_tokens_
                              : generation.parts_.back().tokens_;
  return generation.model_.empty()
             ? Duration::zero()
             : prefill_speed_.PrefillTime(generation.model_, own_tokens);
}

auto Dispatcher::MinRequiredTime(const WorkItem& item) const -> RequiredTime {
  const auto& generation = item.generation_;
  if (generation.model_.empty()) {
    return {};
  }
  const auto prefill = OwnPrefillTime(item);
  const auto step = prefill_speed_.StepTime(generation.model_, 1);
  if (item.resumed_ || item.resumed_by_caller_) {
    // Its caller would have kept it until the deadline, whatever the estimate
    // of its length.
    return {prefill, prefill + step};
  }
  return {prefill, prefill + step * ExpectedOutputTokens(generation)};
}

auto Dispatcher::CachedTokens(const Target& target,
                              const PendingRequest& waiting, bool has_affinity)
    -> std::uint32_t {
  const auto& parts = waiting.item_.generation_.parts_;
  auto cached =
      target.prefix_cache_.CachedTokens(waiting.prefix_hashes_, parts);
  if (has_affinity) {
    std::uint32_t shared = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
      shared += parts[i].tokens_;
    }
    cached = std::max(cached, shared);
  } else if (parts.size() > 2) {
    // The first of several shared parts occurs in so many prompts that every
    // target is assumed to have cached it.
    cached = std::max(cached, parts.front().tokens_);
  }
  return cached;
}

auto Dispatcher::CandidatesFor(const WorkItem& item) -> std::vector<Candidate> {
  std::vector<Candidate> candidates;
  for (auto* target : TargetsFor(item)) {
    if (item.excluded_.count(target->registration_.id_) == 0 &&
        CanServe(*target, item)) {
      candidates.push_back({target});
    }
  }
  return candidates;
}

auto Dispatcher::MarkReserved(std::vector<Candidate>& candidates) const
    -> bool {
  if (settings_.reserved_share_ <= 0 || candidates.size() < 2) {
    return false;
  }
  // Slow targets come first: the prefill of a long prompt there makes the gaps
  // between the events of all other responses too long, while short prompts
  // hardly disturb each other. Within both groups, the targets are ordered by a
  // hash of their ids, independent of the model, so that all instances select
  // the same ones without communication.
  std::vector<std::tuple<bool, std::uint64_t, std::size_t>> ranked;
  ranked.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& target = *candidates[i].target_;
    const bool slow =
        is_uneven_ && target_speed_.LongTermFactor(target.registration_.id_) >
                          settings_.slow_target_factor_;
    ranked.emplace_back(!slow, target.id_hash_, i);
  }
  std::sort(ranked.begin(), ranked.end());
  const auto count = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(settings_.reserved_share_ *
                                           static_cast<double>(ranked.size()))),
      1, ranked.size() - 1);
  for (std::size_t i = 0; i < count; ++i) {
    candidates[std::get<2>(ranked[i])].reserved_ = true;
  }
  return true;
}

auto Dispatcher::MarkAffinityTargets(const PendingRequest& waiting,
                                     std::optional<bool> reserved,
                                     std::vector<Candidate>& candidates) const
    -> void {
  const auto shared = SharedPrefixHash(waiting.prefix_hashes_);
  if (shared == 0) {
    return;
  }
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  ranked.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!reserved || candidates[i].reserved_ == *reserved) {
      ranked.emplace_back(
          HashKey(candidates[i].target_->registration_.id_, shared), i);
    }
  }
  const auto count = std::min(settings_.affinity_target_count_, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  for (std::size_t i = 0; i < count; ++i) {
    candidates[ranked[i].second].has_affinity_ = true;
  }
}

auto Dispatcher::FindCacheSource(const PendingRequest& waiting,
                                 const std::vector<Candidate>& candidates,
                                 TimePoint now) const -> CacheSource {
  CacheSource source;
  const auto* engine = FindEngine(waiting.item_.service_);
  if (!settings_.fetch_cached_parts_ || engine == nullptr ||
      engine->cache_bytes_per_token_ <= 0 || engine->cache_link_mbps_ <= 0) {
    return source;
  }
  for (const auto& candidate : candidates) {
    if (!candidate.target_->health_.IsUsable(now)) {
      continue;
    }
    const auto tokens =
        CachedTokens(*candidate.target_, waiting, candidate.has_affinity_);
    if (tokens > source.tokens_ ||
        (tokens == source.tokens_ && candidate.has_affinity_)) {
      source = {candidate.target_, tokens};
    }
  }
  return source.tokens_ < settings_.min_fetched_tokens_ ? CacheSource()
                                                        : source;
}

auto Dispatcher::PrefillTimeAt(const Target& target, std::uint32_t cached,
                               const WorkItem& item, const CacheSource& source,
                               double time_factor, bool& fetches) const
    -> Duration {
  const auto& generation = item.generation_;
  const auto pending =
      generation.prompt_tokens_ - std::min(cached, generation.prompt_tokens_);
  const auto prefill = Scaled(
      prefill_speed_.PrefillTime(generation.model_, pending), time_factor);
  fetches = false;
  if (source.target_ == nullptr || source.target_ == &target ||
      source.tokens_ < cached + settings_.min_fetched_tokens_) {
    return prefill;
  }
  const auto fetched = std::min(source.tokens_ - cached, pending);
  const auto* engine = FindEngine(item.service_);
  // A megabit per second is a bit per microsecond.
  auto transfer = Duration(static_cast<Duration::rep>(
      fetched * engine->cache_bytes_per_token_ * 8 / engine->cache_link_mbps_));
  transfer += settings_.fetch_setup_time_;
  if (source.target_->registration_.zone_ != target.registration_.zone_) {
    transfer *= 2;
  }
  const auto with_fetch =
      transfer +
      Scaled(prefill_speed_.PrefillTime(generation.model_, pending - fetched),
             time_factor) +
      Scaled(prefill_speed_.PrefillTime(generation.model_, fetched),
             time_factor * settings_.fetch_miss_share_);
  fetches = with_fetch < prefill;
  return fetches ? with_fetch : prefill;
}

auto Dispatcher::Choose(const PendingRequest& waiting, TimePoint now)
    -> Choice {
  Choice choice;
  const auto& item = waiting.item_;
  const auto& generation = item.generation_;
  auto candidates = CandidatesFor(item);
  const bool is_long =
      prefill_speed_.PrefillTime(generation.model_, generation.prompt_tokens_) >
      settings_.long_prompt_threshold_;
  bool some_reserved = false;
  if (!generation.model_.empty()) {
    some_reserved = MarkReserved(candidates);
    MarkAffinityTargets(waiting,
                        some_reserved ? std::optional(!is_long) : std::nullopt,
                        candidates);
  }
  const auto source = generation.model_.empty()
                          ? CacheSource()
                          : FindCacheSource(waiting, candidates, now);
  for (const auto& candidate : candidates) {
    auto* target = candidate.target_;
    if (!target->health_.IsUsable(now)) {
      continue;
    }
    const auto load = LoadAt(target->registration_.id_, now);
    if (!HasCapacity(*target, load, item, now)) {
      continue;
    }
    const auto cached = CachedTokens(*target, waiting, candidate.has_affinity_);
    bool fetches = false;
    const auto time_factor = generation.model_.empty()
                                 ? 1
                                 : TimeFactorAt(target->registration_.id_, now);
    const auto prefill =
        PrefillTimeAt(*target, cached, item, source, time_factor, fetches);
    const auto first_token = Duration(load.pending_prefill_us_) + prefill;
    Duration cost;
    Duration token_time{};
    if (generation.model_.empty()) {
      cost = kPlainCallTime * (load.running_ + 1) /
             std::max<std::size_t>(1, target->registration_.slots_);
    } else {
      token_time = Scaled(StepTime(generation.model_, load), time_factor);
      const auto remaining = token_time * ExpectedOutputTokens(generation);
      cost = first_token + Scaled(remaining, settings_.completion_weight_) +
             Scaled(prefill * load.running_, settings_.interference_weight_);
    }
    if (some_reserved && is_long == candidate.reserved_) {
      cost += is_long ? settings_.long_prompt_misplacement_penalty_
                      : settings_.short_prompt_misplacement_penalty_;
    }
    if (Duration(load.pending_prefill_us_) > settings_.max_prefill_backlog_) {
      // Only short prompts get here. One without a backlog is better for them,
      // whether it is reserved for them or not.
      cost += settings_.short_prompt_misplacement_penalty_;
    }
    if (target->registration_.zone_ != zone_) {
      cost += settings_.other_zone_penalty_;
    }
    cost = Scaled(cost, target->slowdown_.FactorAt(now));
    cost = Scaled(
        cost, 1 + settings_.failure_weight_ * target->health_.failure_share());
    // Calls without a model are distributed at random, with a lower probability
    // for targets with a higher load. If each instance chose the least loaded
    // target according to old reports, all of them would choose the same one.
    if (generation.model_.empty() && !peers_.is_empty()) {
      std::exponential_distribution<double> random_factor(1);
      cost = Scaled(cost, random_factor(random_));
    }
    if (cost < choice.cost_) {
      choice.target_ = target;
      choice.cost_ = cost;
      choice.prefill_ = prefill;
      choice.first_token_ = first_token;
      choice.token_time_ = token_time;
      choice.target_load_ = load;
      choice.cache_source_ = fetches ? source.target_ : nullptr;
      choice.pending_prefill_tokens_ =
          prefill_speed_.TokensPrefilledIn(generation.model_, first_token);
    }
  }
  return choice;
}

auto Dispatcher::PredictedWait(const WorkItem& item, TimePoint now) const
    -> std::optional<Duration> {
  // The load ahead of the request is that of all targets that have loaded its
  // model, plus the requests before it in the queue of this instance. The
  // expected wait is this load divided by the combined speed of the targets.
  Duration prefill{};
  double in_progress = 0;  // requests like `item`, at the targets
  double capacity = 0;     // of such requests
  int target_count = 0;
  int model_count = 0;  // targets of any software version
  for (const auto* target : TargetsFor(item)) {
    if (!target->health_.IsUsable(now)) {
      continue;
    }
    ++model_count;
    if (!CanServe(*target, item)) {
      continue;
    }
    const auto load = LoadAt(target->registration_.id_, now);
    ++target_count;
    capacity += ConcurrentRequests(*target, item);
    in_progress += std::max<double>(
        load.running_,
        item.generation_.model_.empty()
            ? 0
            : load.cache_tokens_ /
                  std::max(1.0, static_cast<double>(
                                    RequiredCacheTokens(item.generation_))));
    prefill += Duration(load.pending_prefill_us_);
  }
  if (target_count == 0) {
    return std::nullopt;
  }
  // Requests without a required version also go to targets of other versions.
  const auto version_share =
      item.version_ ? static_cast<double>(target_count) / model_count : 1;
  double ahead = 0;  // requests in the queue that are sent before `item`
  for (const auto& [id, entry] : queue_) {
    const auto& waiting = entry.item_;
    if (waiting.generation_.model_ == item.generation_.model_ &&
        waiting.service_ == item.service_ &&
        waiting.objective_at_ <= item.objective_at_ &&
        (!waiting.version_ || !item.version_ ||
         waiting.version_ == item.version_)) {
      // About half of a prompt is shared with other prompts and is mostly
      // cached at the target.
      const auto share = waiting.version_ ? 1 : version_share;
      prefill += Scaled(
          prefill_speed_.PrefillTime(waiting.generation_.model_,
                                     waiting.generation_.prompt_tokens_ / 2),
          share);
      ahead += share;
    }
  }
  if (item.generation_.model_.empty()) {
    return Scaled(kPlainCallTime,
                  (in_progress + ahead) / std::max(1.0, capacity));
  }
  auto wait =
      Scaled(prefill / target_count, 1 / settings_.max_prefill_utilization_);
  const auto service_time =
      service_times_.Find(item.service_, item.generation_.model_);
  const auto excess =
      in_progress + ahead * static_cast<double>(instance_count_) + 1 - capacity;
  if (settings_.predict_wait_by_slots_ && service_time && excess > 0) {
    wait = std::max(wait,
                    Scaled(*service_time, settings_.slot_wait_factor_ * excess /
                                              std::max(1.0, capacity)));
  }
  return wait;
}

auto Dispatcher::ConcurrentRequests(const Target& target,
                                    const WorkItem& item) const -> double {
  const auto slots = static_cast<double>(target.registration_.slots_);
  const auto* engine = FindEngine(item.service_);
  const auto needed = RequiredCacheTokens(item.generation_);
  return engine == nullptr || needed == 0
             ? slots
             : std::min(slots, static_cast<double>(engine->cache_tokens_) *
                                   settings_.max_cache_share_ / needed);
}

}  // namespace baobab::gateway
