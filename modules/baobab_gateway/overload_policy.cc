#include "baobab_gateway/overload_policy.h"

#include <algorithm>

namespace baobab::gateway {
namespace {

auto Scaled(Duration time, double factor) -> Duration {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

}  // namespace

auto OverloadPolicy::IsLate(const WorkItem& item, Duration prefill,
                            TimePoint now) const -> bool {
  const auto overhead =
      item.generation_.model_.empty()
          ? Duration::zero()
          : std::min(settings_.max_first_token_overhead_,
                     Scaled(item.objective_at_ - item.arrived_,
                            settings_.first_token_share_));
  return item.objective_at_ < now + overhead + prefill;
}

auto OverloadPolicy::RankOf(const WorkItem& item, Duration prefill,
                            TimePoint now) const -> Rank {
  return {IsLate(item, prefill, now),
          item.objective_at_ + settings_.priority_step_ * item.priority_,
          item.id_};
}

auto OverloadPolicy::IsUseful(const WorkItem& item,
                              const RequiredTime& required, TimePoint sent_at)
    -> bool {
  return sent_at + required.total_ < item.deadline_ &&
         (item.first_event_by_ == TimePoint::max() ||
          sent_at + required.first_token_ < item.first_event_by_);
}

auto OverloadPolicy::RetryAfter(const WorkItem& item, Duration wait,
                                TimePoint now) const -> Duration {
  const auto most =
      std::min(settings_.max_retry_after_,
               std::max(Duration::zero(), item.deadline_ - now) / 3);
  return std::clamp(wait / 2, std::min(settings_.min_retry_after_, most), most);
}

}  // namespace baobab::gateway
