#include "baobab_gateway/poison_part_detector.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace baobab::gateway {
namespace {

/// Number of crashes that are kept for each part: enough to show separate ones
/// at the highest rate of crashes seen, five a second.
constexpr std::size_t kMaxCrashes = 8;
/// Time for which an acquittal is repeated in messages to peers: several of
/// their intervals, since datagrams may be lost.
constexpr Duration kBegunReportTime = std::chrono::seconds(3);
/// Number of verdicts after which their length no longer doubles.
constexpr int kMaxDoublings = 6;

/// Returns true if `crashes` contains all of `others`.
template <class Crashes>
auto ContainsAll(const Crashes& crashes, const Crashes& others) -> bool {
  return std::all_of(others.begin(), others.end(), [&](const auto& other) {
    return std::any_of(crashes.begin(), crashes.end(), [&](const auto& crash) {
      return crash.crash_ == other.crash_;
    });
  });
}

/// Calls `action` with the id of each part that other prompts may share.
template <class Action>
auto ForEachSharedPart(const Generation& generation, Action action) -> void {
  for (std::size_t i = 0; i + 1 < generation.parts_.size(); ++i) {
    action(generation.parts_[i].id_);
  }
}

}  // namespace

auto PoisonPartDetector::CountCrashes(const Part& part)
    -> std::pair<int, TimePoint> {
  int count = 0;
  TimePoint counted_at{};
  TimePoint decisive_at{};
  for (const auto& crash : part.crashes_) {
    if (count > 0 && crash.at_ - counted_at < kMinCrashInterval) {
      continue;
    }
    counted_at = crash.at_;
    if (++count == kCrashesForVerdict) {
      decisive_at = crash.at_;
    }
  }
  return {count, decisive_at};
}

auto PoisonPartDetector::MakeVerdict(std::uint64_t id, const Part& part,
                                     TimePoint now) -> Verdict {
  Verdict verdict;
  verdict.part_ = id;
  verdict.crashes_ = CountCrashes(part).first;
  verdict.oldest_crash_ = part.crashes_.empty()
                              ? Duration::zero()
                              : now - part.crashes_.front().at_;
  verdict.remaining_ = std::max(Duration::zero(), part.verdict_ends_at_ - now);
  verdict.convictions_ = part.convictions_;
  return verdict;
}

auto PoisonPartDetector::IsExplained(std::uint32_t crash) const -> bool {
  return std::any_of(parts_.begin(), parts_.end(), [crash](const auto& entry) {
    const auto& part = entry.second;
    return part.convictions_ > 0 &&
           std::any_of(
               part.crashes_.begin(), part.crashes_.end(),
               [crash](const Crash& known) { return known.crash_ == crash; });
  });
}

auto PoisonPartDetector::AddCrash(std::uint64_t id, Crash crash, TimePoint now)
    -> bool {
  if (const auto begun = begun_.find(id);
      begun != begun_.end() && begun->second.at_ > crash.at_) {
    Acquit(id, begun->second.at_, now);
    return true;
  }
  const auto known = parts_.find(id);
  const bool convicted =
      known != parts_.end() && known->second.convictions_ > 0;
  if (!convicted && IsExplained(crash.crash_)) {
    return false;
  }
  if (known == parts_.end() && parts_.size() >= kMaxParts) {
    EvictPart();
  }
  auto& part = parts_[id];
  if (part.begun_at_ && *part.begun_at_ >= crash.at_) {
    return false;
  }
  auto& crashes = part.crashes_;
  if (std::any_of(crashes.begin(), crashes.end(), [&crash](const Crash& entry) {
        return entry.crash_ == crash.crash_;
      })) {
    return false;
  }
  crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), crash,
                                  [](const Crash& left, const Crash& right) {
                                    return left.at_ < right.at_;
                                  }),
                 crash);
  if (crashes.size() > kMaxCrashes) {
    DropClosestCrash(crashes);
  }
  if (convicted && crash.at_ - part.convicted_at_ >= kMinTrialDelay) {
    Convict(part, now);
  }
  return true;
}

auto PoisonPartDetector::IsAmbiguous(const Part& part) const -> bool {
  return std::any_of(parts_.begin(), parts_.end(), [&part](const auto& entry) {
    const auto& other = entry.second;
    return &other != &part && other.convictions_ > 0 &&
           ContainsAll(other.crashes_, part.crashes_);
  });
}

auto PoisonPartDetector::DropClosestCrash(std::vector<Crash>& crashes) -> void {
  auto closest = crashes.begin() + 1;
  for (auto crash = closest; crash != crashes.end(); ++crash) {
    if (crash->at_ - std::prev(crash)->at_ <
        closest->at_ - std::prev(closest)->at_) {
      closest = crash;
    }
  }
  crashes.erase(closest);
}

auto PoisonPartDetector::EvictPart() -> void {
  auto oldest = parts_.end();
  TimePoint oldest_at = TimePoint::max();
  for (auto entry = parts_.begin(); entry != parts_.end(); ++entry) {
    const auto& part = entry->second;
    const auto at =
        part.crashes_.empty() ? TimePoint{} : part.crashes_.back().at_;
    if (part.convictions_ == 0 && at < oldest_at) {
      oldest = entry;
      oldest_at = at;
    }
  }
  parts_.erase(oldest == parts_.end() ? parts_.begin() : oldest);
}

auto PoisonPartDetector::Acquit(std::uint64_t id, TimePoint begun_at,
                                TimePoint now) -> void {
  if (parts_.count(id) == 0 && parts_.size() >= kMaxParts) {
    EvictPart();
  }
  auto& part = parts_[id];
  part.begun_at_ = std::max(begun_at, part.begun_at_.value_or(begun_at));
  part.reported_until_ = now + kBegunReportTime;
  std::erase_if(part.crashes_, [&part](const Crash& crash) {
    return crash.at_ <= *part.begun_at_;
  });
  if (part.convictions_ > 0 && CountCrashes(part).first < kCrashesForVerdict) {
    part.convictions_ = 0;
    part.trial_at_.reset();
    acquitted_.push_back(id);
  }
}

auto PoisonPartDetector::OnCrash(const Generation& generation,
                                 std::uint32_t crash, TimePoint now) -> void {
  ForEachSharedPart(generation, [&](std::uint64_t part) {
    news_ = AddCrash(part, {crash, now}, now) || news_;
  });
}

auto PoisonPartDetector::OnBegun(const Generation& generation, TimePoint now)
    -> void {
  ForEachSharedPart(generation, [&](std::uint64_t id) {
    const auto [entry, is_new] = begun_.try_emplace(id);
    if (!is_new) {
      begun_order_.erase(entry->second.order_);
    }
    begun_order_.push_front(id);
    entry->second = {now, begun_order_.begin()};
    if (begun_.size() > kMaxBegunParts) {
      begun_.erase(begun_order_.back());
      begun_order_.pop_back();
    }
    const auto part = parts_.find(id);
    if (part != parts_.end() && !part->second.crashes_.empty()) {
      Acquit(id, now, now);
      news_ = true;
    }
  });
}

auto PoisonPartDetector::OnSent(const Generation& generation, TimePoint now)
    -> bool {
  bool is_trial = false;
  ForEachSharedPart(generation, [&](std::uint64_t id) {
    const auto part = parts_.find(id);
    if (part != parts_.end() && part->second.convictions_ > 0) {
      part->second.trial_at_ = now;
      is_trial = true;
    }
  });
  return is_trial;
}

auto PoisonPartDetector::Merge(const CrashEvidence& evidence, TimePoint now)
    -> void {
  for (const auto& reported : evidence.parts_) {
    if (reported.begun_age_) {
      const auto begun_at = now - *reported.begun_age_;
      const auto part = parts_.find(reported.part_);
      const bool known = part != parts_.end() && part->second.begun_at_ &&
                         *part->second.begun_at_ + kBegunReportTime > begun_at;
      if (!known) {
        Acquit(reported.part_, begun_at, now);
        relayed_news_ = true;
      }
    }
    for (const auto& crash : reported.crashes_) {
      relayed_news_ =
          AddCrash(reported.part_, {crash.crash_, now - crash.age_}, now) ||
          relayed_news_;
    }
  }
}

auto PoisonPartDetector::Evidence(TimePoint now) const
    -> std::vector<PartEvidence> {
  std::vector<std::pair<int, const std::pair<const std::uint64_t, Part>*>>
      order;
  for (const auto& entry : parts_) {
    const auto& part = entry.second;
    if (!part.crashes_.empty() || now < part.reported_until_) {
      order.emplace_back(-CountCrashes(part).first, &entry);
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& left, const auto& right) {
                     return left.first < right.first;
                   });
  order.resize(std::min(order.size(), CrashEvidence::kMaxParts));
  std::vector<PartEvidence> evidence;
  evidence.reserve(order.size());
  for (const auto& [rank, entry] : order) {
    const auto& part = entry->second;
    PartEvidence reported;
    reported.part_ = entry->first;
    if (part.begun_at_ && now < part.reported_until_) {
      reported.begun_age_ = now - *part.begun_at_;
    }
    // Of many crashes, those that lie farthest apart are reported.
    const auto count =
        std::min(part.crashes_.size(), CrashEvidence::kMaxCrashesPerPart);
    for (std::size_t i = 0; i < count; ++i) {
      const auto index =
          count == 1 ? 0 : i * (part.crashes_.size() - 1) / (count - 1);
      const auto& crash = part.crashes_[index];
      reported.crashes_.push_back({crash.crash_, now - crash.at_});
    }
    evidence.push_back(std::move(reported));
  }
  return evidence;
}

auto PoisonPartDetector::Convict(Part& part, TimePoint now) -> void {
  part.convictions_ = std::min(part.convictions_ + 1, kMaxDoublings + 1);
  const auto minimum =
      std::min(kVerdictTime * (1 << (part.convictions_ - 1)), kMaxVerdictTime);
  std::uniform_int_distribution<Duration::rep> draw(
      0, std::chrono::duration_cast<Duration>(minimum).count());
  std::uniform_int_distribution<Duration::rep> draw_delay(
      0, std::chrono::duration_cast<Duration>(kMaxEarlyTrialDelay).count());
  part.convicted_at_ = now;
  part.early_trial_from_ = now + Duration(draw_delay(random_));
  part.verdict_ends_at_ = now + minimum + Duration(draw(random_));
  part.trial_at_.reset();
}

auto PoisonPartDetector::Update(TimePoint now) -> std::vector<Verdict> {
  std::vector<Verdict> verdicts;
  // All parts with enough evidence are convicted before any of them explains
  // the crashes of the others.
  for (auto& [id, part] : parts_) {
    if (part.convictions_ > 0) {
      continue;
    }
    const auto [count, decisive_at] = CountCrashes(part);
    if (count >= kCrashesForVerdict && now - decisive_at >= kVerdictDelay) {
      Convict(part, now);
      verdicts.push_back(MakeVerdict(id, part, now));
    }
  }
  if (!verdicts.empty()) {
    RemoveExplainedCrashes();
  }
  Expire(now);
  return verdicts;
}

auto PoisonPartDetector::RemoveExplainedCrashes() -> void {
  for (auto& [id, part] : parts_) {
    if (part.convictions_ == 0) {
      std::erase_if(part.crashes_, [this](const Crash& crash) {
        return IsExplained(crash.crash_);
      });
    }
  }
}

auto PoisonPartDetector::Expire(TimePoint now) -> void {
  for (auto& [id, part] : parts_) {
    if (part.convictions_ == 0) {
      std::erase_if(part.crashes_, [now](const Crash& crash) {
        return now - crash.at_ > kEvidenceTime;
      });
    }
  }
  std::erase_if(parts_, [now](const auto& entry) {
    const auto& part = entry.second;
    return part.convictions_ > 0
               ? now > part.verdict_ends_at_ + kMemoryTime
               : part.crashes_.empty() && now >= part.reported_until_;
  });
}

auto PoisonPartDetector::FindVerdict(const Generation& generation,
                                     TimePoint now) const
    -> std::optional<Verdict> {
  if (parts_.empty()) {
    return std::nullopt;
  }
  std::vector<std::pair<std::uint64_t, const Part*>> convicted;
  ForEachSharedPart(generation, [&](std::uint64_t id) {
    const auto found = parts_.find(id);
    if (found != parts_.end() && found->second.convictions_ > 0) {
      convicted.emplace_back(id, &found->second);
    }
  });
  for (const auto& [id, part] : convicted) {
    const bool in_trial =
        part->trial_at_ && now - *part->trial_at_ < kTrialTime;
    const bool may_be_tried =
        now >= part->verdict_ends_at_ ||
        (convicted.size() == 1 && now >= part->early_trial_from_ &&
         IsAmbiguous(*part));
    if (in_trial || !may_be_tried) {
      return MakeVerdict(id, *part, now);
    }
  }
  return std::nullopt;
}

auto PoisonPartDetector::MayRepeat(const Generation& generation) const -> bool {
  bool may_repeat = true;
  ForEachSharedPart(generation, [&](std::uint64_t id) {
    const auto found = parts_.find(id);
    may_repeat = may_repeat &&
                 (found == parts_.end() ||
                  (found->second.convictions_ == 0 &&
                   CountCrashes(found->second).first < kCrashesForNoRepeat));
  });
  return may_repeat;
}

auto PoisonPartDetector::OnSuspended(Duration time) -> void {
  for (auto& [id, part] : parts_) {
    for (auto& crash : part.crashes_) {
      crash.at_ -= time;
    }
    if (part.begun_at_) {
      *part.begun_at_ -= time;
    }
    part.convicted_at_ -= time;
    part.early_trial_from_ -= time;
    part.verdict_ends_at_ -= time;
  }
  for (auto& [id, begun] : begun_) {
    begun.at_ -= time;
  }
}

auto PoisonPartDetector::convicted() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      parts_.begin(), parts_.end(),
      [](const auto& entry) { return entry.second.convictions_ > 0; }));
}

}  // namespace baobab::gateway
