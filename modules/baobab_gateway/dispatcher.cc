#include "baobab_gateway/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::gateway {
namespace {

/// Time that a plain service call takes, as far as the queue is concerned.
constexpr Duration kPlainCall = std::chrono::milliseconds(60);
/// A refusing target gets nothing for this long: about the time in which a full
/// queue of 24 calls of 30 ms at 6 slots drains.
constexpr Duration kFullPause = std::chrono::milliseconds(120);
/// Shares of an engine's time below this, in thousandths, are left out of
/// reports: they change no decision and cost bytes.
constexpr std::uint32_t kLeastReported = 5;
/// Bounds of Retry-After: a shorter wait finds the same queue, a longer one
/// exceeds what callers honour.
constexpr Duration kShortestRetry = std::chrono::milliseconds(100);
constexpr Duration kLongestRetry = std::chrono::seconds(3);

auto ExpectedOutput(const Generation& generation) -> std::uint32_t {
  if (generation.output_expected_ == 0) {
    return generation.output_limit_;
  }
  return std::min(generation.output_limit_, 2 * generation.output_expected_);
}

auto CacheTokens(const Generation& generation) -> std::uint32_t {
  return generation.prompt_tokens_ + ExpectedOutput(generation);
}

auto OutputTokens(const Generation& generation) -> std::uint32_t {
  return generation.output_expected_ > 0
             ? std::min(generation.output_expected_, generation.output_limit_)
             : generation.output_limit_;
}

auto Scaled(Duration time, double factor) -> Duration {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

/// Returns true if peers must hear at once of a call without a model: half of
/// the target's slots are taken. Such targets slow down when they are full, and
/// 83 instances that each see a free slot in old reports fill them.
auto IsContended(const WorkItem& item, std::size_t running, std::size_t slots)
    -> bool {
  return item.generation_.model_.empty() && 2 * running >= slots;
}

auto SharedChainHash(const std::vector<std::uint64_t>& chain) -> std::uint64_t {
  // The last part belongs to the request itself.
  return chain.size() < 2 ? 0 : chain[chain.size() - 2];
}

}  // namespace

auto Dispatcher::SetManifest(const Manifest& manifest) -> void {
  services_.clear();
  for (const auto& service : manifest.services_) {
    services_[service.name_] = service;
  }
  for (auto& [id, target] : targets_) {
    if (const auto* engine = Engine(target.registration_.service_)) {
      target.memory_.set_capacity(engine->cache_tokens_);
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
        target.registration_.born_ms_ != registration.born_ms_ ||
        target.registration_.endpoint_ != registration.endpoint_;
    if (restarted) {
      target.health_ = TargetHealth();
      target.memory_.Clear();
      target.loaded_.clear();
      target.lacking_.clear();
    }
    if (target.registration_.models_ != registration.models_) {
      // What the target says of itself replaces what others said of it.
      target.lacking_.clear();
      target.loaded_.clear();
    }
    target.registration_ = registration;
    target.registered_ = true;
    target.rank_ = HashKey(id);
    if (const auto* engine = Engine(registration.service_)) {
      target.memory_.set_capacity(engine->cache_tokens_);
    }
  }
  std::erase_if(targets_, [this](const auto& item) {
    return !item.second.registered_ && own_.count(item.first) == 0;
  });
  peers_.Expire(now);
}

auto Dispatcher::Engine(const std::string& service) const -> const EngineSpec* {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.engine_
             ? &*found->second.engine_
             : nullptr;
}

auto Dispatcher::Holds(const Target& target, const WorkItem& item) const
    -> bool {
  const auto& generation = item.generation_;
  if (generation.model_.empty()) {
    return true;
  }
  const std::pair<std::string, std::string> model(generation.model_, "");
  const std::pair<std::string, std::string> adapter(generation.model_,
                                                    generation.adapter_);
  if (target.lacking_.count(model) > 0 || target.lacking_.count(adapter) > 0) {
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

auto Dispatcher::HasRoom(const Target& target, const TargetWork& busy,
                         const WorkItem& item, TimePoint now) const -> bool {
  if (now < target.full_until_) {
    return false;
  }
  if (busy.running_ >= target.registration_.slots_) {
    return false;
  }
  const auto* engine = Engine(item.service_);
  if (engine == nullptr || busy.running_ == 0) {
    return true;
  }
  const auto& generation = item.generation_;
  const auto promised =
      static_cast<double>(engine->cache_tokens_) * settings_.cache_share_;
  return busy.cache_tokens_ + CacheTokens(generation) <= promised &&
         Duration(busy.prefill_us_) <= settings_.prefill_backlog_ &&
         busy.busy_permille_ <= settings_.busy_share_ * 1000;
}

auto Dispatcher::WorkAt(const std::string& target, TimePoint now) const
    -> TargetWork {
  auto work = peers_.At(target);
  work += OwnWorkAt(target, now);
  return work;
}

auto Dispatcher::OwnWork(TimePoint now) const -> WorkByTarget {
  auto work = own_;
  for (const auto& [target, share] : shares_) {
    const auto permille = static_cast<std::uint32_t>(share.At(now) * 1000);
    if (permille >= kLeastReported) {
      work[target].busy_permille_ = permille;
    }
  }
  return work;
}

auto Dispatcher::OwnWorkAt(const std::string& target, TimePoint now) const
    -> TargetWork {
  TargetWork work;
  if (const auto own = own_.find(target); own != own_.end()) {
    work = own->second;
  }
  if (const auto share = shares_.find(target); share != shares_.end()) {
    work.busy_permille_ =
        static_cast<std::uint32_t>(share->second.At(now) * 1000);
  }
  return work;
}

auto Dispatcher::StepTime(const std::string& model,
                          const TargetWork& busy) const -> Duration {
  constexpr double kLeastIdle = 0.05;
  const auto idle = std::max(kLeastIdle, 1 - busy.busy_permille_ / 1000.0);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(speed_.StepTime(model, busy.running_).count()) /
      idle));
}

auto Dispatcher::StartTime(const WorkItem& item) const -> Duration {
  const auto& generation = item.generation_;
  if (generation.model_.empty()) {
    return Duration::zero();
  }
  const auto own_tokens =
      generation.parts_.empty() ? 0 : generation.parts_.back().tokens_;
  return settings_.start_lead_ + speed_.TimeFor(generation.model_, own_tokens);
}

auto Dispatcher::ShortestService(const WorkItem& item) const -> Duration {
  const auto& generation = item.generation_;
  if (generation.model_.empty()) {
    return Duration::zero();
  }
  return StartTime(item) - settings_.start_lead_ +
         speed_.StepTime(generation.model_, 1) * OutputTokens(generation);
}

auto Dispatcher::KeptTokens(const Target& target, const Waiting& waiting,
                            bool is_home) -> std::uint32_t {
  const auto& parts = waiting.item_.generation_.parts_;
  auto kept = target.memory_.KeptTokens(waiting.chain_, parts);
  if (is_home) {
    std::uint32_t shared = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
      shared += parts[i].tokens_;
    }
    kept = std::max(kept, shared);
  } else if (parts.size() > 2) {
    // The first part is the same for many subjects: every target keeps it.
    kept = std::max(kept, parts.front().tokens_);
  }
  return kept;
}

auto Dispatcher::CandidatesFor(const WorkItem& item) -> std::vector<Candidate> {
  std::vector<Candidate> candidates;
  for (auto& [id, target] : targets_) {
    if (target.registered_ && !target.registration_.leaving_ &&
        target.registration_.service_ == item.service_ &&
        item.excluded_.count(id) == 0 && Holds(target, item)) {
      candidates.push_back({&target});
    }
  }
  return candidates;
}

auto Dispatcher::MarkReserved(std::vector<Candidate>& candidates) const
    -> bool {
  if (settings_.reserved_share_ <= 0 || candidates.size() < 2) {
    return false;
  }
  // All instances agree without talking: the order is that of a hash of the
  // ids, the same for every model.
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  ranked.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    ranked.emplace_back(candidates[i].target_->rank_, i);
  }
  std::sort(ranked.begin(), ranked.end());
  const auto count = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(settings_.reserved_share_ *
                                           static_cast<double>(ranked.size()))),
      1, ranked.size() - 1);
  for (std::size_t i = 0; i < count; ++i) {
    candidates[ranked[i].second].reserved_ = true;
  }
  return true;
}

auto Dispatcher::MarkHomes(const Waiting& waiting, std::optional<bool> reserved,
                           std::vector<Candidate>& candidates) const -> void {
  const auto shared = SharedChainHash(waiting.chain_);
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
  const auto count = std::min(settings_.homes_, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  for (std::size_t i = 0; i < count; ++i) {
    candidates[ranked[i].second].home_ = true;
  }
}

auto Dispatcher::Choose(const Waiting& waiting, TimePoint now) -> Choice {
  Choice choice;
  const auto& item = waiting.item_;
  const auto& generation = item.generation_;
  auto candidates = CandidatesFor(item);
  const bool is_long =
      speed_.TimeFor(generation.model_, generation.prompt_tokens_) >
      settings_.long_prompt_;
  bool some_reserved = false;
  if (!generation.model_.empty()) {
    some_reserved = MarkReserved(candidates);
    MarkHomes(waiting, some_reserved ? std::optional(!is_long) : std::nullopt,
              candidates);
  }
  for (const auto& candidate : candidates) {
    auto* target = candidate.target_;
    if (!target->health_.IsUsable(now)) {
      continue;
    }
    const auto busy = WorkAt(target->registration_.id_, now);
    if (!HasRoom(*target, busy, item, now)) {
      continue;
    }
    const auto kept = KeptTokens(*target, waiting, candidate.home_);
    const auto prefill = speed_.TimeFor(
        generation.model_,
        generation.prompt_tokens_ - std::min(kept, generation.prompt_tokens_));
    const auto first_token = Duration(busy.prefill_us_) + prefill;
    Duration estimate;
    Duration step{};
    if (generation.model_.empty()) {
      estimate = kPlainCall * (busy.running_ + 1) /
                 std::max<std::size_t>(1, target->registration_.slots_);
    } else {
      step = StepTime(generation.model_, busy);
      const auto rest = step * OutputTokens(generation);
      estimate = first_token + Scaled(rest, settings_.completion_weight_) +
                 Scaled(prefill * busy.running_, settings_.hold_up_weight_);
    }
    if (some_reserved && is_long == candidate.reserved_) {
      estimate +=
          is_long ? settings_.long_at_reserved_ : settings_.short_elsewhere_;
    }
    if (target->registration_.zone_ != zone_) {
      estimate += settings_.other_zone_;
    }
    estimate = Scaled(estimate, 1 + settings_.failure_weight_ *
                                        target->health_.failure_share());
    // Calls that need no model are spread at random, fewer to where more is in
    // progress: the fewest of old reports would draw all instances at once.
    if (generation.model_.empty() && !peers_.is_empty()) {
      std::exponential_distribution<double> draw(1);
      estimate = Scaled(estimate, draw(random_));
    }
    if (estimate < choice.estimate_) {
      choice.target_ = target;
      choice.estimate_ = estimate;
      choice.prefill_ = prefill;
      choice.first_token_ = first_token;
      choice.step_ = step;
      choice.busy_ = busy;
      choice.ahead_tokens_ = speed_.TokensIn(generation.model_, first_token);
    }
  }
  return choice;
}

auto Dispatcher::PredictedWait(const WorkItem& item, TimePoint now) const
    -> std::optional<Duration> {
  // Work ahead of the request at all targets that hold its model, and in the
  // queue of this instance, over the speed of these targets together.
  Duration prefill{};
  std::size_t calls = 0;
  std::size_t slots = 0;
  int holders = 0;
  for (const auto& [id, target] : targets_) {
    if (!target.registered_ || target.registration_.leaving_ ||
        target.registration_.service_ != item.service_ ||
        !target.health_.IsUsable(now) || !Holds(target, item)) {
      continue;
    }
    const auto busy = WorkAt(id, now);
    ++holders;
    slots += target.registration_.slots_;
    prefill += Duration(busy.prefill_us_);
    calls += busy.running_;
  }
  if (holders == 0) {
    return std::nullopt;
  }
  for (const auto& [id, entry] : queue_) {
    const auto& waiting = entry.item_;
    if (waiting.generation_.model_ == item.generation_.model_ &&
        waiting.service_ == item.service_ &&
        waiting.objective_at_ <= item.objective_at_) {
      // The shared half of a prompt is mostly kept at its target.
      prefill += speed_.TimeFor(waiting.generation_.model_,
                                waiting.generation_.prompt_tokens_ / 2);
      ++calls;
    }
  }
  if (item.generation_.model_.empty()) {
    return kPlainCall * calls / std::max<std::size_t>(1, slots);
  }
  return Scaled(prefill / holders, 1 / settings_.busy_share_);
}

auto Dispatcher::Submit(WorkItem item, TimePoint now)
    -> std::optional<Rejection> {
  if (!item.generation_.model_.empty() && !item.resumed_) {
    demand_.OnRequest(item.generation_, now);
  }
  const auto wait = PredictedWait(item, now);
  if (wait && now + *wait + ShortestService(item) > item.limit_at_) {
    return Rejection{item.id_, "queue_too_long",
                     std::clamp(*wait / 2, kShortestRetry, kLongestRetry)};
  }
  const auto id = item.id_;
  auto chain = PrefixChain(item.generation_);
  queue_.emplace(id, Waiting{std::move(item), std::move(chain)});
  return std::nullopt;
}

auto Dispatcher::Assign(TimePoint now) -> std::vector<Assignment> {
  std::vector<Assignment> assignments;
  if (queue_.empty()) {
    return assignments;
  }
  struct Entry {
    bool after_;  // not in the class that goes first
    TimePoint due_;
    WorkId id_;
    const Waiting* waiting_;
  };
  const bool late_first = starts_ % settings_.late_every_ == 0;
  std::vector<Entry> order;
  order.reserve(queue_.size());
  for (const auto& [id, waiting] : queue_) {
    const auto& item = waiting.item_;
    const bool late = item.objective_at_ < now + StartTime(item);
    order.push_back(
        {late != late_first,
         item.objective_at_ + settings_.per_priority_ * item.priority_, id,
         &waiting});
  }
  std::sort(order.begin(), order.end(),
            [](const Entry& left, const Entry& right) {
              return std::tie(left.after_, left.due_, left.id_) <
                     std::tie(right.after_, right.due_, right.id_);
            });
  // Smallest request by what it needs for which no target had room: another
  // one that needs the same and as much memory need not be tried. A long queue
  // would otherwise take more processor time than a small instance has.
  std::map<std::tuple<std::string, std::string, std::string>, std::uint32_t>
      no_room;
  for (const auto& entry : order) {
    const auto& item = entry.waiting_->item_;
    const auto& generation = item.generation_;
    const auto need =
        std::tuple(item.service_, generation.model_, generation.adapter_);
    const auto tried = no_room.find(need);
    if (item.excluded_.empty() && tried != no_room.end() &&
        tried->second <= CacheTokens(generation)) {
      continue;
    }
    const auto choice = Choose(*entry.waiting_, now);
    if (choice.target_ == nullptr) {
      if (item.excluded_.empty()) {
        const auto tokens = CacheTokens(generation);
        const auto [known, is_new] = no_room.emplace(need, tokens);
        known->second = std::min(known->second, tokens);
      }
      continue;
    }
    ++starts_;
    assignments.push_back({item.id_, choice.target_->registration_.id_,
                           choice.estimate_, choice.first_token_, choice.step_,
                           choice.busy_});
    Send(*entry.waiting_, choice, now);
  }
  for (const auto& assignment : assignments) {
    queue_.erase(assignment.id_);
  }
  return assignments;
}

auto Dispatcher::Send(const Waiting& waiting, const Choice& choice,
                      TimePoint now) -> void {
  const auto& item = waiting.item_;
  Sent sent;
  sent.item_ = item;
  sent.target_ = choice.target_->registration_.id_;
  sent.work_ = {1, CacheTokens(item.generation_),
                static_cast<std::uint32_t>(choice.prefill_.count()), 0};
  if (choice.prefill_ > Duration::zero()) {
    shares_[sent.target_].Add(choice.prefill_, now);
  }
  sent.ahead_tokens_ = choice.ahead_tokens_;
  sent.at_ = now;
  sent.calm_ = choice.busy_.prefill_us_ == 0 &&
               choice.busy_.busy_permille_ < settings_.calm_share_ * 1000;
  own_[sent.target_] += sent.work_;
  if (choice.prefill_ > settings_.update_threshold_ ||
      IsContended(item, choice.busy_.running_ + 1,
                  choice.target_->registration_.slots_)) {
    changed_.insert(sent.target_);
  }
  choice.target_->memory_.Record(waiting.chain_, item.generation_.parts_);
  if (!item.generation_.adapter_.empty()) {
    uses_.insert(
        {sent.target_, item.generation_.model_, item.generation_.adapter_});
  }
  sent_[item.id_] = std::move(sent);
}

auto Dispatcher::TakeAdapterUses() -> std::vector<AdapterUse> {
  std::vector<AdapterUse> uses(uses_.begin(), uses_.end());
  uses_.clear();
  for (const auto& [id, sent] : sent_) {
    const auto& generation = sent.item_.generation_;
    if (!generation.adapter_.empty()) {
      uses_.insert({sent.target_, generation.model_, generation.adapter_});
    }
  }
  return uses;
}

auto Dispatcher::RejectHopeless(TimePoint now) -> std::vector<Rejection> {
  std::vector<Rejection> rejections;
  for (const auto& [id, waiting] : queue_) {
    const auto& item = waiting.item_;
    if (now + ShortestService(item) >= item.limit_at_) {
      rejections.push_back({id, "too_late_to_start", kShortestRetry});
    }
  }
  for (const auto& rejection : rejections) {
    queue_.erase(rejection.id_);
  }
  return rejections;
}

auto Dispatcher::Release(WorkId id) -> std::optional<Sent> {
  const auto found = sent_.find(id);
  if (found == sent_.end()) {
    return std::nullopt;
  }
  auto sent = std::move(found->second);
  sent_.erase(found);
  const auto own = own_.find(sent.target_);
  if (own != own_.end()) {
    auto& work = own->second;
    work.running_ -= sent.work_.running_;
    work.cache_tokens_ -= sent.work_.cache_tokens_;
    work.prefill_us_ -= sent.first_token_ ? 0 : sent.work_.prefill_us_;
    const auto target = targets_.find(sent.target_);
    if ((!sent.first_token_ &&
         Duration(sent.work_.prefill_us_) > settings_.update_threshold_) ||
        (target != targets_.end() &&
         IsContended(sent.item_,
                     work.running_ + 1 + peers_.At(sent.target_).running_,
                     target->second.registration_.slots_))) {
      changed_.insert(sent.target_);
    }
    if (work.running_ == 0) {
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
  own_[sent.target_].prefill_us_ -= sent.work_.prefill_us_;
  if (Duration(sent.work_.prefill_us_) > settings_.update_threshold_) {
    changed_.insert(sent.target_);
  }
  if (sent.calm_) {
    speed_.Observe(sent.item_.generation_.model_, sent.ahead_tokens_,
                   now - sent.at_);
  }
}

auto Dispatcher::OnServed(WorkId id) -> void {
  if (const auto sent = Release(id)) {
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

auto Dispatcher::OnTargetRefused(WorkId id, bool lacks_model, TimePoint now)
    -> void {
  const auto sent = Release(id);
  if (!sent) {
    return;
  }
  const auto target = targets_.find(sent->target_);
  if (target == targets_.end()) {
    return;
  }
  const auto& generation = sent->item_.generation_;
  if (lacks_model && !generation.model_.empty()) {
    target->second.lacking_.insert({generation.model_, generation.adapter_});
  } else {
    target->second.full_until_ = now + kFullPause;
  }
}

auto Dispatcher::Forget(WorkId id) -> void {
  queue_.erase(id);
  Release(id);
}

auto Dispatcher::OnPeerWork(const std::string& peer, WorkByTarget work,
                            TimePoint now) -> void {
  peers_.Update(peer, std::move(work), now);
}

auto Dispatcher::OnAdapterLoaded(const std::string& target,
                                 const std::string& model,
                                 const std::string& adapter) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    found->second.loaded_.insert({model, adapter});
    found->second.lacking_.erase({model, adapter});
  }
}

auto Dispatcher::OnRemoval(const std::string& target, const std::string& model,
                           const std::string& adapter) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    found->second.lacking_.insert({model, adapter});
    found->second.loaded_.erase({model, adapter});
  }
}

auto Dispatcher::AdapterNeeds() const -> std::vector<AdapterNeed> {
  std::vector<AdapterNeed> needs;
  for (const auto& [id, waiting] : queue_) {
    const auto& item = waiting.item_;
    const auto& generation = item.generation_;
    if (generation.adapter_.empty()) {
      continue;
    }
    const bool held = std::any_of(
        targets_.begin(), targets_.end(), [this, &item](const auto& entry) {
          return entry.second.registered_ &&
                 !entry.second.registration_.leaving_ &&
                 entry.second.registration_.service_ == item.service_ &&
                 Holds(entry.second, item);
        });
    if (held) {
      continue;
    }
    const auto known = std::find_if(
        needs.begin(), needs.end(), [&generation](const AdapterNeed& need) {
          return need.model_ == generation.model_ &&
                 need.adapter_ == generation.adapter_;
        });
    if (known != needs.end()) {
      ++known->waiting_;
    } else {
      needs.push_back(
          {item.service_, generation.model_, generation.adapter_, 1});
    }
  }
  return needs;
}

auto Dispatcher::Demand(TimePoint now) -> std::map<std::string, double> {
  auto demand = demand_.Rates(now);
  for (auto& [model, rate] : demand) {
    const auto time = speed_.TimeFor(model, static_cast<std::uint64_t>(rate));
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
