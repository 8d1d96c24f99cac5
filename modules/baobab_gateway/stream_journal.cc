#include "baobab_gateway/stream_journal.h"

#include <algorithm>
#include <utility>

namespace baobab::gateway {

auto StreamJournal::Next(const StreamOrigins& origins,
                         const std::set<std::string>& mixed,
                         std::size_t instances, TimePoint now)
    -> std::optional<Write> {
  const auto interval = std::max(
      kMinInterval, kIntervalPerInstance * static_cast<int>(instances));
  if (is_writing_ || mixed.empty() || now - tried_at_ < interval ||
      !origins.HasOwnSince(covered_until_)) {
    return std::nullopt;
  }
  tried_at_ = now;
  if (now - slot_opened_at_ >= kSlotTime) {
    slot_ = (slot_ + 1) % kSlots;
    slot_opened_at_ = now;
    slot_since_ = std::max(covered_until_, now - StreamOrigins::kMaxAge);
  }
  auto update = origins.OwnSince(slot_since_, mixed, now);
  if (update.streams_.empty()) {
    return std::nullopt;
  }
  is_writing_ = true;
  writing_until_ = now;
  return Write{slot_, std::move(update)};
}

}  // namespace baobab::gateway
