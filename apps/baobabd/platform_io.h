#pragma once

#include <memory>
#include <optional>

#include "baobab_base/metrics_registry.h"
#include "baobab_platform/store_client.h"
#include "platform_messages.h"
#include "settings.h"

namespace baobab {

/// Duty of the platform thread: calls to the configuration service and reads
/// of the instance list.
class PlatformIo {
 public:
  /// Throws StepError if an address is wrong.
  PlatformIo(boost::asio::io_context& io, const Settings& settings,
             PlatformEvents& to_control, MetricsRegistry& metrics,
             std::uint64_t seed);

  /// Carries out a command of control.
  auto Handle(PlatformCommand&& command) -> void;

 private:
  auto ReadAllContracts() -> void;
  auto Watch(Revision from) -> void;
  auto ReadRosterKey() -> void;
  auto Swap(const SwapRoster& swap) -> void;
  auto Claim(CallClaim call) -> void;
  auto CreateClaim(const CallClaim& call) -> void;
  auto ReadClaim(const CallClaim& call) -> void;
  auto Answer(const CallClaim& call, ClaimAnswer answer) -> void;
  auto PollInstances(const Settings& settings) -> void;
  auto CountCalls() -> void;

  boost::asio::io_context& io_;
  PlatformEvents& to_control_;
  MetricsRegistry& metrics_;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<platform::InstanceListClient> instances_;
  platform::WatchHandle watch_;
  /// Lease of the claims made until `lease_renewal_`.
  std::int64_t claim_lease_ = 0;
  TimePoint lease_renewal_;
};

}  // namespace baobab
