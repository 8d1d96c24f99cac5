#pragma once

// Members of EntryInstance that register it in the store, exchange the store
// state with peers, serve metrics and shut the process down.

#include "baobab_gateway/entry_instance.h"

namespace baobab::gateway {

template <class Platform>
auto EntryInstance<Platform>::OnLaterStoreEra() -> void {
  const auto previous = std::exchange(store_era_, store_.era().value());
  LogEvent(previous == 0 ? LogLevel::kInfo : LogLevel::kWarning, "store_era")
      .With("era", store_era_)
      .With("previous", previous)
      .With("revision", sync_.revision())
      .With("fence", holder_.fencing_token());
  holder_.OnStoreEra(store_era_);
  if (previous == 0) {
    return;
  }
  metrics_.Add("gateway_store_restores_total", "");
  sync_.ReadNow();
  journal_lease_ = 0;
  // The id of its lease may be given out again.
  if (std::exchange(registration_lease_, 0) != 0) {
    ScheduleRegistration(Duration::zero());
  }
}

template <class Platform>
auto EntryInstance<Platform>::OnOwnEntry(const StoreEntry& entry) -> void {
  holder_.OnStoreEntry(entry);
  if (ApplyStreamEntry(entry)) {
    return;
  }
  if (entry.key_ == kSettledEraKey) {
    std::int64_t era = 0;
    if (!entry.removed_ && std::istringstream(entry.value_) >> era) {
      sync_.OnSettledEra(era);
    }
    return;
  }
  const std::string prefix = kInstancesPrefix;
  if (!entry.key_.starts_with(prefix)) {
    return;
  }
  const auto name = entry.key_.substr(prefix.size());
  if (name == settings_.instance_) {
    return;
  }
  if (entry.removed_) {
    directory_.Unregister(name);
    return;
  }
  directory_.Register(name, DecodeRegistration(entry.value_));
}

template <class Platform>
auto EntryInstance<Platform>::RecordSettledEra(TimePoint now) -> void {
  const auto era = sync_.FindUnrecordedEra(now);
  if (!era || writes_era_ || holder_.fencing_token() == 0) {
    return;
  }
  writes_era_ = true;
  StoreTransaction change;
  change.writes_.push_back({kSettledEraKey, std::to_string(*era), 0});
  store_.Commit(change, [this, era = *era](auto committed) {
    writes_era_ = false;
    // If the store has returned from a copy since, the entry states an earlier
    // era and does no harm.
    if (std::holds_alternative<std::int64_t>(committed)) {
      sync_.OnSettledEra(era);
      LogEvent(LogLevel::kInfo, "store_era_settled").With("era", era);
    }
  });
}

template <class Platform>
auto EntryInstance<Platform>::Register() -> void {
  if (stopping_) {
    return;
  }
  const auto began = BootNow();
  if (registration_lease_ != 0) {
    store_.RenewLease(
        registration_lease_,
        [this, began, id = registration_lease_](auto result) {
          if (registration_lease_ != id) {
            // Lost since with an earlier era of the store.
          } else if (const auto* failure = std::get_if<StoreFailure>(&result);
                     failure != nullptr && *failure == StoreFailure::kNoLease) {
            LogEvent(LogLevel::kWarning, "registration_lapsed")
                .With("lease", registration_lease_);
            registration_lease_ = 0;
          } else if (failure == nullptr) {
            registration_confirmed_at_ = began;
          }
          ScheduleRegistration(registration_lease_ == 0 ? Duration::zero()
                                                        : RenewInterval(Now()));
        });
    return;
  }
  store_.GrantLease(kRegistrationTtl, [this, began](auto result) {
    const auto* lease = std::get_if<StoreLease>(&result);
    if (lease == nullptr) {
      ScheduleRegistration(kRegistrationRenewInterval);
      return;
    }
    StoreTransaction change;
    change.writes_.push_back({kInstancesPrefix + settings_.instance_,
                              EncodeRegistration(), lease->id_});
    const auto id = lease->id_;
    store_.Commit(
        change, [this, id, began, era = store_.era().value()](auto committed) {
          if (std::holds_alternative<std::int64_t>(committed) &&
              era == store_.era().value()) {
            registration_lease_ = id;
            registration_confirmed_at_ = began;
            LogEvent(LogLevel::kInfo, "instance_registered").With("lease", id);
          }
          ScheduleRegistration(kRegistrationRenewInterval);
        });
  });
}

template <class Platform>
auto EntryInstance<Platform>::EncodeRegistration() const -> std::string {
  return settings_.address_ + " " +
         (settings_.caller_endpoint_ ? settings_.caller_endpoint_->ToString()
                                     : "-") +
         " " + settings_.zone_ + " " + std::to_string(settings_.cpu_permille_);
}

template <class Platform>
auto EntryInstance<Platform>::DecodeRegistration(const std::string& value)
    -> InstanceRegistration {
  InstanceRegistration registration;
  std::istringstream fields(value);
  fields >> registration.address_ >> registration.caller_address_ >>
      registration.zone_ >> registration.cpu_permille_;
  if (registration.caller_address_ == "-") {
    registration.caller_address_.clear();
  }
  return registration;
}

template <class Platform>
auto EntryInstance<Platform>::ScheduleRegistration(Duration delay) -> void {
  registration_timer_.expires_after(delay);
  registration_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Register();
    }
  });
}

template <class Platform>
auto EntryInstance<Platform>::CheckSuspension() -> void {
  const auto now = Now();
  const auto suspended = suspension_.Check(BootTime(), now);
  if (suspended == Duration::zero()) {
    return;
  }
  LogEvent(LogLevel::kWarning, "process_suspended")
      .With("ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(suspended)
                .count());
  resumed_at_ = now;
  directory_.OnSuspended(suspended);
  gateway_.OnSuspended(suspended);
  gateway_.dispatcher().ExpirePeers(now);
  sync_.OnSuspended(suspended);
}

template <class Platform>
auto EntryInstance<Platform>::MayDispatch() -> bool {
  CheckSuspension();
  if (resumed_at_ && (sync_.read_at() >= *resumed_at_ ||
                      Now() - *resumed_at_ >= kMaxResumeWait)) {
    resumed_at_.reset();
  }
  return !resumed_at_;
}

template <class Platform>
auto EntryInstance<Platform>::PeerControlEndpoints() const
    -> std::vector<TargetEndpoint> {
  std::vector<TargetEndpoint> endpoints = settings_.seed_peers_;
  for (const auto& [name, instance] : directory_.instances()) {
    if (settings_.control_endpoint_) {
      endpoints.push_back(
          {instance.address_, settings_.control_endpoint_->port_});
    }
  }
  std::erase_if(endpoints, [this](const TargetEndpoint& endpoint) {
    return endpoint.host_ == settings_.address_;
  });
  return endpoints;
}

template <class Platform>
auto EntryInstance<Platform>::OnRestoredListing() -> void {
  if (sync_.AwaitsPeers()) {
    RequestPeerState();
    return;
  }
  if (const auto peers = PeerControlEndpoints(); !peers.empty()) {
    std::uniform_int_distribution<std::size_t> draw(0, peers.size() - 1);
    RequestRecentState(peers[draw(random_)].host_);
  }
}

template <class Platform>
auto EntryInstance<Platform>::RequestPeerState() -> void {
  const auto candidates = PeerControlEndpoints();
  if (candidates.empty()) {
    if (sync_.AwaitsPeers()) {
      sync_.EndPeerWait();
    }
  } else {
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    const auto& peer = candidates[draw(random_)];
    FetchFromPeer(
        peer, "/state",
        [this](const std::string& body) { ApplyPeerState(body); },
        [this, peer](const std::string& reason) {
          OnPeerStateFailed(peer.ToString(), reason);
        });
  }
  SchedulePeerState(kPeerStateInterval);
}

template <class Platform>
auto EntryInstance<Platform>::SchedulePeerState(Duration delay) -> void {
  start_timer_.expires_after(delay);
  start_timer_.async_wait([this](boost::system::error_code error) {
    if (!error && !sync_.is_complete()) {
      RequestPeerState();
    }
  });
}

template <class Platform>
auto EntryInstance<Platform>::OnPeerStateFailed(const std::string& peer,
                                                const std::string& reason)
    -> void {
  LogEvent(LogLevel::kInfo, "peer_state_failed")
      .With("peer", peer)
      .With("reason", reason);
  if (sync_.AwaitsPeers()) {
    SchedulePeerState(kPeerStateRetryDelay);
  }
}

template <class Platform>
auto EntryInstance<Platform>::RequestRecentState(const std::string& address)
    -> void {
  const auto now = Now();
  if (!settings_.control_endpoint_ ||
      now - recent_state_requested_at_ < kPeerStateInterval) {
    return;
  }
  recent_state_requested_at_ = now;
  const auto on_failure = [this, address](const std::string& reason) {
    LogEvent(LogLevel::kInfo, "peer_state_failed")
        .With("peer", address)
        .With("reason", reason);
    start_timer_.expires_after(kPeerStateInterval);
    start_timer_.async_wait([this](boost::system::error_code error) {
      if (!error && sync_.IsSettling()) {
        OnRestoredListing();
      }
    });
  };
  FetchFromPeer(
      {address, settings_.control_endpoint_->port_}, "/state/recent",
      [this, on_failure](const std::string& body) {
        try {
          ApplyRecentState(boost::json::parse(body).as_object());
          sync_.FinishAdoption();
        } catch (const std::exception& error) {
          on_failure(error.what());
        }
      },
      on_failure);
}

template <class Platform>
auto EntryInstance<Platform>::MakeRecentState() const -> boost::json::object {
  boost::json::array leaving;
  for (const auto& target : sync_.leaving_targets().Recent(Now())) {
    leaving.push_back(boost::json::array{target.target_, target.revision_});
  }
  return {{"manifest", sync_.manifest_text()}, {"leaving", std::move(leaving)}};
}

template <class Platform>
auto EntryInstance<Platform>::ApplyRecentState(const boost::json::object& state)
    -> void {
  sync_.AdoptManifest(boost::json::value_to<std::string>(state.at("manifest")));
  std::vector<LeavingTarget> leaving;
  // A peer of an earlier version does not state them.
  if (const auto* entries = state.if_contains("leaving")) {
    for (const auto& entry : entries->as_array()) {
      const auto& fields = entry.as_array();
      leaving.push_back({boost::json::value_to<std::string>(fields.at(0)),
                         fields.at(1).to_number<std::int64_t>()});
    }
  }
  // Not a complete list of a coordinator: it confirms nothing.
  sync_.OnLeavingTargets(leaving, /*complete_after=*/0, std::nullopt);
}

template <class Platform>
auto EntryInstance<Platform>::FetchFromPeer(
    const TargetEndpoint& peer, std::string path,
    std::function<void(const std::string&)> on_body,
    const std::function<void(const std::string&)>& on_failure) -> void {
  TargetRequest request;
  request.endpoint_ = peer;
  request.path_ = std::move(path);
  request.timeouts_ = {kPeerStateInterval, kPeerStateInterval,
                       kPeerStateInterval, kPeerStateInterval};
  StartWholeExchange(
      store_pool_, std::move(request), kMaxPeerStateBytes,
      {[on_body = std::move(on_body),
        on_failure](const TargetResponse& response) {
         if (response.head_.status_ == 200) {
           on_body(response.body_);
         } else {
           on_failure("status " + std::to_string(response.head_.status_));
         }
       },
       [on_failure](const AttemptFailure& failure) {
         on_failure(failure.reason_);
       }});
}

template <class Platform>
auto EntryInstance<Platform>::ApplyPeerState(const std::string& text) -> void {
  try {
    const auto document = boost::json::parse(text);
    const auto& object = document.as_object();
    if (sync_.is_complete()) {
      return;
    }
    ApplyRecentState(object);
    for (const auto& entry : object.at("targets").as_array()) {
      const auto& fields = entry.as_array();
      sync_.AdoptTarget(boost::json::value_to<std::string>(fields.at(0)),
                        boost::json::value_to<std::string>(fields.at(1)),
                        fields.at(2).to_number<std::int64_t>());
    }
    sync_.FinishAdoption();
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kWarning, "peer_state_unreadable")
        .With("reason", error.what());
  }
}

template <class Platform>
auto EntryInstance<Platform>::WaitForSignal() -> void {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      // There is nothing to reload: addresses and limits are fixed for the
      // lifetime of the process, and settings that may change at run time are
      // read from the store.
      LogEvent(LogLevel::kInfo, "settings_reload").With("changed", 0);
    } else if (!stopping_) {
      BeginStop();
    }
    WaitForSignal();
  });
}

template <class Platform>
auto EntryInstance<Platform>::BeginStop() -> void {
  LogEvent(LogLevel::kInfo, "stop_requested").With("active", gateway_.active());
  stopping_ = true;
  stop_started_at_ = Now();
  holder_.Stop();
  gateway_.BeginStop();
  if (registration_lease_ != 0) {
    store_.RevokeLease(registration_lease_, [](const auto&) {});
  }
  SendReport();
  CheckStop();
}

template <class Platform>
auto EntryInstance<Platform>::CheckStop() -> void {
  switch (stop_sequence_.Next(Now() - stop_started_at_, gateway_.active())) {
    case StopSequence::Action::kWait:
      break;
    case StopSequence::Action::kStopAccepting:
      gateway_.StopAccepting();
      break;
    case StopSequence::Action::kAnswerRest:
      LogEvent(LogLevel::kWarning, "stop_answers_rest")
          .With("active", gateway_.active());
      gateway_.AnswerRest();
      break;
    case StopSequence::Action::kExit:
      LogEvent(LogLevel::kInfo, "instance_stopped")
          .With("active", gateway_.active());
      io_.stop();
      return;
  }
  stop_timer_.expires_after(kStopCheckInterval);
  stop_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      CheckStop();
    }
  });
}

template <class Platform>
auto EntryInstance<Platform>::OnStateOrMetricsRequest(
    const HttpRequest& request) -> HttpResponse {
  HttpResponse response;
  if (request.path_ == "/state" && sync_.is_complete()) {
    boost::json::array targets;
    for (const auto& [id, raw] : sync_.raw_targets()) {
      targets.push_back(boost::json::array{id, raw.first, raw.second});
    }
    boost::json::array instances;
    for (const auto& [name, instance] : directory_.instances()) {
      instances.emplace_back(instance.address_);
    }
    auto state = MakeRecentState();
    state["targets"] = std::move(targets);
    state["instances"] = std::move(instances);
    response.body_ = boost::json::serialize(state);
  } else if (request.path_ == "/state/recent" && sync_.is_complete()) {
    response.body_ = boost::json::serialize(MakeRecentState());
  } else if (request.path_ == "/metrics") {
    return MetricsPage();
  } else {
    response.status_ = request.path_.starts_with("/state") ? 503 : 404;
  }
  return response;
}

template <class Platform>
auto EntryInstance<Platform>::MetricsPage() -> HttpResponse {
  HttpResponse response;
  response.content_type_ = "text/plain; version=0.0.4";
  const auto now = Now();
  auto& dispatcher = gateway_.dispatcher();
  metrics_.Set("gateway_waiting", "",
               static_cast<double>(dispatcher.waiting()));
  metrics_.Set("gateway_running", "",
               static_cast<double>(dispatcher.running()));
  metrics_.Set(
      "gateway_oldest_wait_seconds", "",
      std::chrono::duration<double>(dispatcher.OldestWait(now)).count());
  metrics_.Set(
      "gateway_manifest_version", "",
      sync_.manifest() ? static_cast<double>(sync_.manifest()->version_) : 0);
  metrics_.Set("gateway_convicted_parts", "",
               static_cast<double>(dispatcher.poison_parts().convicted()));
  if (auto& gate = gateway_.key_gate(); gate.IsStrict()) {
    const auto confirmed_at = gate.evidence().confirmed_at();
    metrics_.Set(
        "gateway_key_evidence_age_seconds", "",
        confirmed_at
            ? std::chrono::duration<double>(BootTime() - *confirmed_at).count()
            : -1);
  }
  for (const auto& account : gateway_.caps().CappedAccounts()) {
    metrics_.Set("gateway_account_cap_share", Label("account", account),
                 gateway_.caps().Share(account, BootNow()).rate_);
  }
  metrics_.Set("gateway_is_cap_broker", "", cap_broker_.term() != 0 ? 1 : 0);
  metrics_.Set("gateway_store_era", "",
               static_cast<double>(store_.era().value()));
  metrics_.Set("gateway_store_connected", "", sync_.is_connected() ? 1 : 0);
  const auto counts = gateway_.connection_counts();
  for (const auto& [name, value] :
       {std::pair("gateway_connections_held_bytes",
                  static_cast<double>(counts.held_bytes_)),
        std::pair("gateway_connections_max_held_bytes",
                  static_cast<double>(counts.max_held_bytes_)),
        std::pair("gateway_connections_paused",
                  static_cast<double>(counts.paused_)),
        std::pair("gateway_connections_ended_requests",
                  static_cast<double>(counts.ended_requests_)),
        std::pair("gateway_connections_cut_responses",
                  static_cast<double>(counts.cut_responses_)),
        std::pair("gateway_connections_replaced",
                  static_cast<double>(counts.replaced_)),
        std::pair("gateway_connections_refused",
                  static_cast<double>(counts.refused_))}) {
    metrics_.Set(name, "", value);
  }
  metrics_.Set("gateway_is_holder", "", holder_.fencing_token() != 0 ? 1 : 0);
  response.body_ = metrics_.Render();
  return response;
}

}  // namespace baobab::gateway
