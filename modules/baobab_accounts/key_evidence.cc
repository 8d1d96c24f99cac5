#include "baobab_accounts/key_evidence.h"

#include <algorithm>

namespace baobab::accounts {

KeyEvidence::KeyEvidence(std::optional<Duration> revocation_time) {
  if (revocation_time) {
    max_age_ = *revocation_time -
               std::min(kMaxMargin, *revocation_time / kMarginDivisor);
  }
}

auto KeyEvidence::SetVersion(std::int64_t version) -> void {
  if (version <= version_) {
    return;
  }
  // What was proved for an older version holds: no newer one than that, and so
  // none newer than this one, was acknowledged before.
  version_ = version;
  while (!newer_.empty() && newer_.begin()->first <= version_) {
    Confirm(newer_.begin()->first, newer_.begin()->second);
    newer_.erase(newer_.begin());
  }
}

auto KeyEvidence::Confirm(std::int64_t version, Duration moment) -> void {
  if (version <= version_) {
    confirmed_at_ = std::max(confirmed_at_.value_or(moment), moment);
    return;
  }
  auto& known = newer_.try_emplace(version, moment).first->second;
  known = std::max(known, moment);
  if (newer_.size() > kMaxNewerVersions) {
    newer_.erase(std::prev(newer_.end()));
  }
}

}  // namespace baobab::accounts
