#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "baobab_accounts/account_table.h"
#include "baobab_accounts/key_evidence.h"
#include "baobab_gateway/ingress_types.h"
#include "baobab_gateway/key_read_pacer.h"
#include "baobab_gateway/manifest.h"

namespace baobab::gateway {

/// Decides whether the key of a request admits it, and when the store has to be
/// read for that decision.
///
/// A known key needs evidence only with strict revocation. An unknown key is
/// refused only if a read that began after the arrival of the request did not
/// find it either: a key that was just added must not be refused. A key that
/// was refused before is refused again with somewhat older evidence, so that a
/// caller that repeats it does not cause calls to the store.
class KeyGate {
 public:
  /// Longest time for which a request waits for evidence, and the divisor of
  /// its remaining time that bounds it: the rest is left for a retry.
  static constexpr Duration kMaxWait = std::chrono::seconds(1);
  static constexpr int kTimeLeftDivisor = 3;

  /// Refused keys that are remembered.
  static constexpr std::size_t kMaxRefusedKeys = 512;

  enum class Verdict : std::uint8_t {
    kAdmit,
    kUnknownKey,
    kNeedsEvidence,  ///< Undecided until the store was read.
  };

  struct Decision {
    Verdict verdict_ = Verdict::kAdmit;
    /// Account of the caller; nullptr if the route needs none.
    std::shared_ptr<const accounts::ClientAccount> account_;
  };

  /// `revocation_time`: see KeyEvidence.
  explicit KeyGate(std::optional<Duration> revocation_time)
      : evidence_(revocation_time) {}

  auto SetManifest(const Manifest& manifest) -> void {
    has_accounts_ = manifest.has_accounts_;
    table_ = accounts::AccountTable(manifest.accounts_);
    evidence_.SetVersion(manifest.version_);
  }

  [[nodiscard]] auto has_accounts() const -> bool { return has_accounts_; }

  [[nodiscard]] auto accounts() const
      -> const std::vector<std::shared_ptr<const accounts::ClientAccount>>& {
    return table_.accounts();
  }

  /// Returns true if requests need evidence although their keys are known.
  [[nodiscard]] auto IsStrict() const -> bool {
    return has_accounts_ && evidence_.is_strict();
  }

  /// Returns true if a request of `route` needs the key of an account.
  [[nodiscard]] auto NeedsKey(const Route& route) const -> bool {
    return has_accounts_ && !route.anonymous_;
  }

  /// Returns the account that holds the key of a request, or nullptr.
  [[nodiscard]] auto FindAccount(const IngressRequest& ingress) const
      -> std::shared_ptr<const accounts::ClientAccount> {
    return ingress.api_key_.empty() ? nullptr
                                    : table_.FindByKey(ingress.api_key_);
  }

  /// Decides on a request of `route`. May be repeated with newer evidence.
  [[nodiscard]] auto Decide(const Route& route,
                            const IngressRequest& ingress) const -> Decision {
    if (!NeedsKey(route)) {
      return {};
    }
    const auto arrived = ingress.received_at_;
    if (auto account = FindAccount(ingress)) {
      return {evidence_.MayAdmit(arrived) ? Verdict::kAdmit
                                          : Verdict::kNeedsEvidence,
              std::move(account)};
    }
    const bool decided = ingress.api_key_.empty() ||
                         evidence_.ProvesUnknown(arrived) ||
                         (refused_keys_.count(ingress.api_key_) > 0 &&
                          evidence_.ProvesStillUnknown(arrived));
    return {decided ? Verdict::kUnknownKey : Verdict::kNeedsEvidence, nullptr};
  }

  /// Records that a request was refused because its key is unknown. The next
  /// ones with that key need no evidence as recent as theirs.
  auto OnRefused(const IngressRequest& ingress) -> void {
    if (refused_keys_.size() >= kMaxRefusedKeys) {
      refused_keys_.clear();
    }
    if (!ingress.api_key_.empty()) {
      refused_keys_.insert(ingress.api_key_);
    }
  }

  /// Returns the longest time for which a request waits for evidence.
  /// `time_left`: until its caller gives up.
  [[nodiscard]] static auto MaxWait(Duration time_left) -> Duration {
    return std::min(kMaxWait, time_left / kTimeLeftDivisor);
  }

  /// Returns true if requests with a known key lack evidence or will soon lack
  /// it, so that it should be renewed while they arrive.
  [[nodiscard]] auto NeedsRenewal(Duration now) const -> bool {
    return IsStrict() && evidence_.NeedsRenewal(now);
  }

  [[nodiscard]] auto evidence() -> accounts::KeyEvidence& { return evidence_; }
  [[nodiscard]] auto pacer() -> KeyReadPacer& { return pacer_; }

 private:
  bool has_accounts_ = false;
  accounts::AccountTable table_;
  accounts::KeyEvidence evidence_;
  std::unordered_set<std::string> refused_keys_;
  KeyReadPacer pacer_;
};

}  // namespace baobab::gateway
