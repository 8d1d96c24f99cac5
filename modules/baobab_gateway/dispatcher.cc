#include "baobab_gateway/dispatcher.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::gateway {
namespace {

/// Time for which a target gets no requests after it rejected one as full:
/// about the time in which a full queue of 24 calls of 30 ms each drains
/// through 6 slots.
constexpr Duration kFullTargetPause = std::chrono::milliseconds(120);
/// Minimum prefill utilization, in thousandths, that is included in reports.
/// Lower values change no decision and only make the reports longer.
constexpr std::uint32_t kMinReportedUtilizationPermille = 5;
/// Lower bound of Retry-After: after a shorter wait the queue would hardly be
/// shorter.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

/// Returns true if a call without a model must be reported to peers immediately
/// because half of the target's slots are in use. Such targets slow down when
/// they are full, and 83 instances that each see a free slot in old reports
/// would overfill them.
auto IsContended(const WorkItem& item, std::size_t running, std::size_t slots)
    -> bool {
  return item.generation_.model_.empty() && 2 * running >= slots;
}

/// Returns `item` as one that targets of any software version may serve.
auto WithoutVersion(WorkItem item) -> WorkItem {
  item.version_.reset();
  return item;
}

}  // namespace

auto Dispatcher::SetManifest(const Manifest& manifest) -> void {
  services_.clear();
  for (const auto& service : manifest.services_) {
    services_[service.name_] = service;
  }
  for (auto& [id, target] : targets_) {
    if (const auto* engine = FindEngine(target.registration_.service_)) {
      target.prefix_cache_.set_capacity(engine->cache_tokens_);
    }
  }
}

auto Dispatcher::SetTargets(const TargetRegistry& registry, TimePoint now)
    -> void {
  for (auto& [id, target] : targets_) {
    target.registered_ = false;
  }
  for (const auto& [id, entry] : registry.entries()) {
    auto& target = targets_[id];
    const auto& registration = entry.registration_;
    const bool restarted =
        target.registration_.start_time_ms_ != registration.start_time_ms_ ||
        target.registration_.endpoint_ != registration.endpoint_;
    if (restarted) {
      target.health_ = TargetHealth();
      target_speed_.Forget(id);
      target.prefix_cache_.Clear();
      target.loaded_.clear();
      target.missing_.clear();
      target.full_until_ = TimePoint{};
    }
    if (target.registration_.models_ != registration.models_) {
      // The models that the target registered replace the announced ones.
      target.missing_.clear();
      target.loaded_.clear();
    }
    target.registration_ = registration;
    target.registered_ = true;
    target.id_hash_ = HashKey(id);
    if (const auto* engine = FindEngine(registration.service_)) {
      target.prefix_cache_.set_capacity(engine->cache_tokens_);
    }
  }
  std::erase_if(targets_, [this, now](const auto& item) {
    const auto& target = item.second;
    // The pause that a process asked for lasts although its registration is
    // gone for a moment.
    return !target.registered_ && target.full_until_ <= now &&
           own_.count(item.first) == 0;
  });
  RebuildIndex();
  peers_.Expire(now);
}

auto Dispatcher::RebuildIndex() -> void {
  targets_by_model_.clear();
  for (auto& [id, target] : targets_) {
    const auto& registration = target.registration_;
    if (!target.registered_ || registration.draining_) {
      continue;
    }
    std::set<std::string> models{""};
    for (const auto& model : registration.models_) {
      models.insert(model.name_);
    }
    for (const auto& [model, adapter] : target.loaded_) {
      models.insert(model);
    }
    for (const auto& model : models) {
      targets_by_model_[{registration.service_, model}].push_back(&target);
    }
  }
}

auto Dispatcher::TargetsFor(const WorkItem& item) const
    -> const std::vector<Target*>& {
  static const std::vector<Target*> kNone;
  const auto found =
      targets_by_model_.find({item.service_, item.generation_.model_});
  return found == targets_by_model_.end() ? kNone : found->second;
}

auto Dispatcher::FindEngine(const std::string& service) const
    -> const EngineSpec* {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.engine_
             ? &*found->second.engine_
             : nullptr;
}

auto Dispatcher::OwnLoad(TimePoint now) const -> LoadByTarget {
  auto load = own_;
  for (const auto& [target, share] : prefill_utilizations_) {
    const auto permille = static_cast<std::uint32_t>(share.At(now) * 1000);
    if (permille >= kMinReportedUtilizationPermille) {
      load[target].prefill_utilization_permille_ = permille;
    }
  }
  return load;
}

auto Dispatcher::OwnLoadAt(const std::string& target, TimePoint now) const
    -> TargetLoad {
  TargetLoad load;
  if (const auto own = own_.find(target); own != own_.end()) {
    load = own->second;
  }
  if (const auto share = prefill_utilizations_.find(target);
      share != prefill_utilizations_.end()) {
    load.prefill_utilization_permille_ =
        static_cast<std::uint32_t>(share->second.At(now) * 1000);
  }
  return load;
}

auto Dispatcher::Submit(WorkItem item, TimePoint now)
    -> std::optional<Rejection> {
  if (!item.generation_.model_.empty() && !item.resumed_) {
    demand_.OnRequest(item.generation_, now);
  }
  if (auto rejection = RejectPoison(item, now)) {
    return rejection;
  }
  if (auto rejection = RejectWithoutVersion(item)) {
    return rejection;
  }
  const auto opening = EarliestOpening(item, now);
  const auto required = MinRequiredTime(item);
  if (opening > now && !OverloadPolicy::IsUseful(item, required, opening)) {
    return Rejection{item.id_, "targets_paused", opening - now};
  }
  const auto wait = PredictedWait(item, now);
  if (wait && now + *wait + required.total_ > item.deadline_) {
    return Rejection{item.id_, "queue_too_long",
                     overload_.RetryAfter(item, *wait, now), *wait,
                     required.total_};
  }
  const auto id = item.id_;
  auto prefix_hashes = PrefixHashes(item.generation_);
  queue_.emplace(id, PendingRequest{std::move(item), std::move(prefix_hashes)});
  return std::nullopt;
}

auto Dispatcher::RejectPoison(const WorkItem& item, TimePoint now) const
    -> std::optional<Rejection> {
  const auto verdict = poison_parts_.FindVerdict(item.generation_, now);
  if (!verdict) {
    return std::nullopt;
  }
  return Rejection{item.id_, "poison_part",
                   std::max(verdict->remaining_, kMinRetryAfter)};
}

auto Dispatcher::RejectWithoutVersion(const WorkItem& item) const
    -> std::optional<Rejection> {
  if (!item.version_ || IsLoadedAtAnyTarget(item)) {
    return std::nullopt;
  }
  const bool is_gone = std::none_of(
      targets_.begin(), targets_.end(), [&item](const auto& entry) {
        const auto& target = entry.second;
        return target.registered_ &&
               target.registration_.service_ == item.service_ &&
               target.registration_.software_version_ == *item.version_;
      });
  if (is_gone) {
    return Rejection{item.id_, "version_gone", kMinRetryAfter};
  }
  // While no target at all has the model and adapter, one may be about to load
  // them.
  if (!IsLoadedAtAnyTarget(WithoutVersion(item))) {
    return std::nullopt;
  }
  return Rejection{item.id_, "version_lacks_model", kMinRetryAfter};
}

auto Dispatcher::FindConvicted(TimePoint now) const -> std::vector<WorkId> {
  std::vector<WorkId> convicted;
  for (const auto& [id, sent] : sent_) {
    if (!sent.first_token_ && !sent.is_trial_ &&
        poison_parts_.FindVerdict(sent.item_.generation_, now)) {
      convicted.push_back(id);
    }
  }
  return convicted;
}

auto Dispatcher::Assign(TimePoint now) -> std::vector<Assignment> {
  std::vector<Assignment> assignments;
  if (queue_.empty()) {
    return assignments;
  }
  UpdateUnevenness(now);
  struct Entry {
    OverloadPolicy::Rank rank_;
    const PendingRequest* request_;
  };
  const bool late_goes_first =
      start_count_ % settings_.sends_per_late_request_ == 0;
  std::vector<Entry> order;
  order.reserve(queue_.size());
  for (const auto& [id, waiting] : queue_) {
    const auto& item = waiting.item_;
    auto rank = overload_.RankOf(item, OwnPrefillTime(item), now);
    // At every nth send, late requests go before those on time.
    rank.late_ = rank.late_ != late_goes_first;
    order.push_back({rank, &waiting});
  }
  std::sort(order.begin(), order.end(),
            [](const Entry& left, const Entry& right) {
              return left.rank_ < right.rank_;
            });
  // Smallest cache requirement, by service, model and adapter, for which no
  // target had capacity. A request for the same service, model and adapter that
  // needs at least as much cache is skipped: choosing a target for every
  // request in a long queue would take more CPU time than a small instance has.
  std::map<std::tuple<std::string, std::string, std::string>, std::uint32_t>
      no_capacity;
  for (const auto& entry : order) {
    const auto& item = entry.request_->item_;
    const auto& generation = item.generation_;
    if (RejectPoison(item, now)) {
      continue;
    }
    const auto requirement =
        std::tuple(item.service_, generation.model_, generation.adapter_);
    const auto smallest_failed = no_capacity.find(requirement);
    const bool may_use_any = item.excluded_.empty() && !item.version_;
    if (may_use_any && smallest_failed != no_capacity.end() &&
        smallest_failed->second <= RequiredCacheTokens(generation)) {
      continue;
    }
    const auto choice = Choose(*entry.request_, now);
    if (choice.target_ == nullptr) {
      if (may_use_any) {
        const auto tokens = RequiredCacheTokens(generation);
        const auto [known, is_new] = no_capacity.emplace(requirement, tokens);
        known->second = std::min(known->second, tokens);
      }
      continue;
    }
    ++start_count_;
    assignments.push_back({item.id_, choice.target_->registration_.id_,
                           choice.cost_, choice.first_token_,
                           choice.token_time_, choice.target_load_,
                           choice.cache_source_ == nullptr
                               ? std::string()
                               : choice.cache_source_->registration_.id_});
    RecordSend(*entry.request_, choice, now);
  }
  for (const auto& assignment : assignments) {
    queue_.erase(assignment.id_);
  }
  return assignments;
}

auto Dispatcher::UpdateUnevenness(TimePoint now) -> void {
  if (now - unevenness_updated_at_ < std::chrono::seconds(1)) {
    return;
  }
  unevenness_updated_at_ = now;
  std::size_t engines = 0;
  std::size_t slow = 0;
  for (const auto& [id, target] : targets_) {
    if (FindEngine(target.registration_.service_) != nullptr) {
      ++engines;
      slow += target_speed_.LongTermFactor(id) > settings_.slow_target_factor_;
    }
  }
  is_uneven_ = settings_.use_target_speed_ && slow > 0 &&
               static_cast<double>(slow) >=
                   settings_.min_slow_share_ * static_cast<double>(engines);
}

auto Dispatcher::RecordSend(const PendingRequest& waiting, const Choice& choice,
                            TimePoint now) -> void {
  const auto& item = waiting.item_;
  SentRequest sent;
  sent.item_ = item;
  sent.target_ = choice.target_->registration_.id_;
  sent.load_ = {1, RequiredCacheTokens(item.generation_),
                static_cast<std::uint32_t>(choice.prefill_.count()), 0};
  if (choice.prefill_ > Duration::zero()) {
    prefill_utilizations_[sent.target_].Add(choice.prefill_, now);
  }
  sent.pending_prefill_tokens_ = choice.pending_prefill_tokens_;
  sent.sent_at_ = now;
  sent.is_trial_ = poison_parts_.OnSent(item.generation_, now);
  sent.measures_speed_ = choice.cache_source_ == nullptr &&
                         choice.target_load_.pending_prefill_us_ == 0 &&
                         choice.target_load_.prefill_utilization_permille_ <
                             settings_.max_sampled_utilization_ * 1000;
  own_[sent.target_] += sent.load_;
  if (choice.prefill_ > settings_.immediate_report_threshold_ ||
      IsContended(item, choice.target_load_.running_ + 1,
                  choice.target_->registration_.slots_)) {
    changed_targets_.insert(sent.target_);
  }
  choice.target_->prefix_cache_.Record(waiting.prefix_hashes_,
                                       item.generation_.parts_);
  if (!item.generation_.adapter_.empty()) {
    adapter_uses_.insert(
        {sent.target_, item.generation_.model_, item.generation_.adapter_});
  }
  sent_[item.id_] = std::move(sent);
}

auto Dispatcher::TakeAdapterUses() -> std::vector<AdapterUse> {
  std::vector<AdapterUse> uses(adapter_uses_.begin(), adapter_uses_.end());
  adapter_uses_.clear();
  for (const auto& [id, sent] : sent_) {
    const auto& generation = sent.item_.generation_;
    if (!generation.adapter_.empty()) {
      adapter_uses_.insert(
          {sent.target_, generation.model_, generation.adapter_});
    }
  }
  return uses;
}

auto Dispatcher::RejectInfeasible(TimePoint now) -> std::vector<Rejection> {
  std::vector<Rejection> rejections;
  if (settings_.refuse_poison_parts_) {
    auto verdicts = poison_parts_.Update(now);
    new_verdicts_.insert(new_verdicts_.end(), verdicts.begin(), verdicts.end());
  }
  for (const auto& [id, waiting] : queue_) {
    const auto& item = waiting.item_;
    if (auto rejection = RejectPoison(item, now)) {
      rejections.push_back(std::move(*rejection));
      continue;
    }
    if (auto rejection = RejectWithoutVersion(item)) {
      rejections.push_back(std::move(*rejection));
      continue;
    }
    const auto required = MinRequiredTime(item);
    if (!OverloadPolicy::IsUseful(item, required, now)) {
      rejections.push_back({id, "too_late_to_start", kMinRetryAfter});
      continue;
    }
    const auto opening = EarliestOpening(item, now);
    if (opening > now && !OverloadPolicy::IsUseful(item, required, opening)) {
      rejections.push_back({id, "targets_paused", opening - now});
    }
  }
  for (const auto& rejection : rejections) {
    queue_.erase(rejection.id_);
  }
  return rejections;
}

auto Dispatcher::Release(WorkId id) -> std::optional<SentRequest> {
  const auto found = sent_.find(id);
  if (found == sent_.end()) {
    return std::nullopt;
  }
  auto sent = std::move(found->second);
  sent_.erase(found);
  const auto own = own_.find(sent.target_);
  if (own != own_.end()) {
    auto& load = own->second;
    load.running_ -= sent.load_.running_;
    load.cache_tokens_ -= sent.load_.cache_tokens_;
    load.pending_prefill_us_ -=
        sent.first_token_ ? 0 : sent.load_.pending_prefill_us_;
    const auto target = targets_.find(sent.target_);
    if ((!sent.first_token_ && Duration(sent.load_.pending_prefill_us_) >
                                   settings_.immediate_report_threshold_) ||
        (target != targets_.end() &&
         IsContended(sent.item_,
                     load.running_ + 1 + peers_.At(sent.target_).running_,
                     target->second.registration_.slots_))) {
      changed_targets_.insert(sent.target_);
    }
    if (load.running_ == 0) {
      own_.erase(own);
    }
  }
  return sent;
}

auto Dispatcher::OnFirstToken(WorkId id, TimePoint now) -> void {
  const auto found = sent_.find(id);
  if (found == sent_.end() || found->second.first_token_) {
    return;
  }
  auto& sent = found->second;
  sent.first_token_ = true;
  poison_parts_.OnBegun(sent.item_.generation_, now);
  own_[sent.target_].pending_prefill_us_ -= sent.load_.pending_prefill_us_;
  if (Duration(sent.load_.pending_prefill_us_) >
      settings_.immediate_report_threshold_) {
    changed_targets_.insert(sent.target_);
  }
  if (sent.measures_speed_) {
    prefill_speed_.Observe(sent.item_.generation_.model_,
                           sent.pending_prefill_tokens_, now - sent.sent_at_);
  }
  OnEvents(id, 1, now);
}

auto Dispatcher::OnEvents(WorkId id, std::uint32_t count, TimePoint now)
    -> void {
  const auto found = sent_.find(id);
  if (found == sent_.end() || count == 0) {
    return;
  }
  auto& sent = found->second;
  const auto load = LoadAt(sent.target_, now);
  const auto since =
      std::exchange(sent.undisturbed_since_,
                    load.pending_prefill_us_ == 0 &&
                            load.prefill_utilization_permille_ <
                                settings_.max_sampled_utilization_ * 1000
                        ? std::optional(now)
                        : std::nullopt);
  if (since && sent.undisturbed_since_) {
    const auto& model = sent.item_.generation_.model_;
    target_speed_.Observe(sent.target_, model, now - *since,
                          prefill_speed_.StepTime(model, load.running_) * count,
                          now);
  }
}

auto Dispatcher::OnStatedLoad(const std::string& target, const StatedLoad& load,
                              TimePoint now) -> void {
  if (const auto found = targets_.find(target); found != targets_.end()) {
    found->second.slowdown_.OnStatedLoad(load, now);
  }
}

auto Dispatcher::OnServed(WorkId id, TimePoint now) -> void {
  if (const auto sent = Release(id)) {
    if (!sent->first_token_) {
      poison_parts_.OnBegun(sent->item_.generation_, now);
    }
    service_times_.Observe(sent->item_.service_, sent->item_.generation_.model_,
                           now - sent->sent_at_);
    if (const auto target = targets_.find(sent->target_);
        target != targets_.end()) {
      target->second.health_.OnSuccess();
    }
  }
}

auto Dispatcher::OnErrorResponse(WorkId id) -> void {
  if (const auto sent = Release(id)) {
    if (const auto target = targets_.find(sent->target_);
        target != targets_.end()) {
      target->second.health_.OnErrorResponse();
    }
  }
}

auto Dispatcher::OnTargetFailed(WorkId id, TimePoint now) -> void {
  if (const auto sent = Release(id)) {
    if (const auto target = targets_.find(sent->target_);
        target != targets_.end()) {
      target->second.health_.OnFailure(now);
    }
  }
}

auto Dispatcher::OnTargetBrokeOff(WorkId id, TimePoint now) -> void {
  const auto sent = sent_.find(id);
  if (sent != sent_.end() && !sent->second.first_token_) {
    const auto target = targets_.find(sent->second.target_);
    const auto start = target == targets_.end()
                           ? 0
                           : target->second.registration_.start_time_ms_;
    poison_parts_.OnCrash(
        sent->second.item_.generation_,
        static_cast<std::uint32_t>(
            HashKey(sent->second.target_, static_cast<std::uint64_t>(start))),
        now);
  }
  OnTargetFailed(id, now);
}

auto Dispatcher::OnTargetRefused(WorkId id, bool model_not_loaded,
                                 TimePoint now) -> void {
  const auto sent = Release(id);
  if (!sent) {
    return;
  }
  const auto target = targets_.find(sent->target_);
  if (target == targets_.end()) {
    return;
  }
  const auto& generation = sent->item_.generation_;
  if (model_not_loaded && !generation.model_.empty()) {
    target->second.missing_.insert({generation.model_, generation.adapter_});
  } else {
    auto& full_until = target->second.full_until_;
    full_until = std::max(full_until, now + kFullTargetPause);
  }
}

auto Dispatcher::OnRetryAfter(const std::string& target, Duration time,
                              TimePoint now) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  auto& full_until = found->second.full_until_;
  full_until = std::max(full_until, now + time);
  last_pause_ends_at_ = std::max(last_pause_ends_at_, full_until);
}

auto Dispatcher::EarliestOpening(const WorkItem& item, TimePoint now) const
    -> TimePoint {
  if (now >= last_pause_ends_at_) {
    return now;
  }
  auto earliest = TimePoint::max();
  for (const auto* target : TargetsFor(item)) {
    if (item.excluded_.count(target->registration_.id_) == 0 &&
        CanServe(*target, item)) {
      earliest = std::min(earliest, target->full_until_);
    }
  }
  // Without any target, one may be about to load the model.
  return earliest == TimePoint::max() ? now : std::max(earliest, now);
}

auto Dispatcher::OnSuspended(Duration time) -> void {
  peers_.OnSuspended(time);
  poison_parts_.OnSuspended(time);
  last_pause_ends_at_ -= time;
  for (auto& [id, target] : targets_) {
    target.full_until_ -= time;
  }
  for (auto& [id, waiting] : queue_) {
    waiting.item_.objective_at_ -= time;
    waiting.item_.deadline_ -= time;
    if (waiting.item_.first_event_by_ != TimePoint::max()) {
      waiting.item_.first_event_by_ -= time;
    }
  }
}

auto Dispatcher::Forget(WorkId id) -> void {
  queue_.erase(id);
  Release(id);
}

auto Dispatcher::OnPeerLoad(const std::string& peer, LoadByTarget load,
                            TimePoint now) -> void {
  peers_.Update(peer, std::move(load), now);
}

auto Dispatcher::OnAdapterLoaded(const std::string& target,
                                 const std::string& model,
                                 const std::string& adapter) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    found->second.missing_.erase({model, adapter});
    if (found->second.loaded_.insert({model, adapter}).second &&
        adapter.empty()) {
      RebuildIndex();
    }
  }
}

auto Dispatcher::OnUnloadAnnounced(const std::string& target,
                                   const std::string& model,
                                   const std::string& adapter) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    found->second.missing_.insert({model, adapter});
    found->second.loaded_.erase({model, adapter});
  }
}

auto Dispatcher::MissingAdapters() const -> std::vector<MissingAdapter> {
  std::vector<MissingAdapter> missing_adapters;
  // Many requests may wait for the same adapter, so the targets are searched
  // only once per adapter.
  std::set<std::pair<std::string, std::string>> loaded_adapters;
  for (const auto& [id, waiting] : queue_) {
    const auto& item = waiting.item_;
    const auto& generation = item.generation_;
    const std::pair adapter(generation.model_, generation.adapter_);
    if (generation.adapter_.empty() || loaded_adapters.count(adapter) > 0) {
      continue;
    }
    const auto known =
        std::find_if(missing_adapters.begin(), missing_adapters.end(),
                     [&generation](const MissingAdapter& missing) {
                       return missing.model_ == generation.model_ &&
                              missing.adapter_ == generation.adapter_;
                     });
    if (known != missing_adapters.end()) {
      ++known->waiting_;
    } else if (IsLoadedAtAnyTarget(WithoutVersion(item))) {
      loaded_adapters.insert(adapter);
    } else {
      missing_adapters.push_back(
          {item.service_, generation.model_, generation.adapter_, 1});
    }
  }
  return missing_adapters;
}

auto Dispatcher::IsLoadedAtAnyTarget(const WorkItem& item) const -> bool {
  const auto& targets = TargetsFor(item);
  return std::any_of(
      targets.begin(), targets.end(),
      [this, &item](const Target* target) { return CanServe(*target, item); });
}

auto Dispatcher::DemandByModel(TimePoint now) -> std::map<std::string, double> {
  auto demand = demand_.Rates(now);
  for (auto& [model, rate] : demand) {
    const auto time =
        prefill_speed_.PrefillTime(model, static_cast<std::uint64_t>(rate));
    rate = std::chrono::duration<double>(time).count();
  }
  return demand;
}

auto Dispatcher::OldestWait(TimePoint now) const -> Duration {
  Duration oldest{};
  for (const auto& [id, waiting] : queue_) {
    oldest = std::max(oldest, now - waiting.item_.arrived_);
  }
  return oldest;
}

}  // namespace baobab::gateway
