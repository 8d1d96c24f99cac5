#pragma once

// Members of EntryInstance that exchange evidence on the manifest with peers.

#include "baobab_gateway/entry_instance.h"

namespace baobab::gateway {

template <class Platform>
auto EntryInstance<Platform>::ForgetGonePeers() -> void {
  if (!HasStrictKeys()) {
    return;
  }
  std::set<std::string> known;
  for (const auto& [name, instance] : directory_.instances()) {
    known.insert(instance.address_);
  }
  echo_.KeepOnly([&known](const std::string& address) {
    return known.count(address) > 0;
  });
}

template <class Platform>
auto EntryInstance<Platform>::OnManifestConfirmed(Duration began) -> void {
  gateway_.OnKeyEvidence(sync_.manifest()->version_, began);
}

template <class Platform>
auto EntryInstance<Platform>::ApplyKeyEvidence(const PeerReport& report)
    -> void {
  if (report.stamp_) {
    echo_.OnReport(report.address_, {report.incarnation_, *report.stamp_},
                   BootTime());
  }
  // A stamp of another process may be of another machine and its clock.
  if (report.echo_ && report.echo_->incarnation_ == incarnation_ &&
      report.echo_->sent_at_ <= BootTime()) {
    gateway_.OnKeyEvidence(report.manifest_version_, report.echo_->sent_at_);
  }
}

template <class Platform>
auto EntryInstance<Platform>::SendWithEcho(const std::string& address,
                                           const std::string& datagram)
    -> void {
  const auto echo =
      HasStrictKeys()
          ? echo_.MomentFor(address,
                            gateway_.key_gate().evidence().confirmed_at())
          : std::nullopt;
  peers_.Send(address, echo ? AppendEcho(datagram, *echo) : datagram);
}

}  // namespace baobab::gateway
