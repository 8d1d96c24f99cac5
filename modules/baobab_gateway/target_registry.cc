#include "baobab_gateway/target_registry.h"

#include <utility>

namespace baobab::gateway {

auto TargetRegistry::Put(TargetRegistration registration, std::int64_t revision)
    -> void {
  auto& entry = entries_[registration.id_];
  if (revision < entry.revision_) {
    return;
  }
  entry.revision_ = revision;
  entry.gone_at_.reset();
  entry.registration_ = std::move(registration);
}

auto TargetRegistry::Remove(const std::string& id, std::int64_t revision)
    -> void {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.revision_ <= revision) {
    entries_.erase(found);
  }
}

auto TargetRegistry::Expire(TimePoint now) -> bool {
  return std::erase_if(entries_, [now](const auto& item) {
           return item.second.gone_at_ && *item.second.gone_at_ <= now;
         }) > 0;
}

}  // namespace baobab::gateway
