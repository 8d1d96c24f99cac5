#include "platform_io.h"

#include <utility>

#include "baobab_base/clock.h"
#include "baobab_base/log.h"
#include "baobab_membership/roster.h"

namespace baobab {
namespace {

// One lease serves the claims of an hour, so that a claim costs one store call
// and not two. It outlasts the ledger's retention of 24 h for all of them.
constexpr auto kLeaseUse = std::chrono::hours(1);
constexpr auto kLeaseTime = std::chrono::hours(26);

auto ClaimKey(const OperationRef& ref) -> std::string {
  return "/baobab/operations/" + ref.customer_.value() + "/" + ref.key_;
}

auto ToRecord(const platform::StoredValue& stored, bool deleted)
    -> std::optional<contract::ContractRecord> {
  const auto customer = contract::CustomerOfKey(stored.key_);
  if (!customer) {
    return std::nullopt;
  }
  contract::ContractRecord record;
  record.customer_ = *customer;
  record.revision_ = stored.mod_revision_;
  if (deleted) {
    record.value_.deleted_ = true;
    return record;
  }
  auto value = contract::DecodeContractValue(stored.value_);
  if (!value) {
    LogEvent(LogLevel::kError, "contract_value_malformed")
        .With("key", stored.key_)
        .With("revision", stored.mod_revision_);
    return std::nullopt;
  }
  record.value_ = std::move(*value);
  return record;
}

/// What a stored claim says; a malformed one counts as lost, since its owner
/// is not known.
auto ExistingClaim(const platform::StoredValue& stored) -> ClaimAnswer {
  ClaimAnswer answer;
  if (auto record = ClaimRecord::Decode(stored.value_)) {
    answer.kind_ = ClaimAnswer::Kind::kExists;
    answer.record_ = std::move(*record);
  }
  return answer;
}

auto ToAnswer(const platform::WriteResult& result) -> ClaimAnswer {
  ClaimAnswer answer;
  if (result.effect_ == platform::Effect::kTookEffect) {
    answer.kind_ = ClaimAnswer::Kind::kCreated;
  } else if (result.current_) {
    answer = ExistingClaim(*result.current_);
  } else if (result.effect_ == platform::Effect::kDidNotTakeEffect) {
    answer.kind_ = ClaimAnswer::Kind::kNotSent;
  }
  return answer;
}

auto LogFailure(const char* event,
                const std::optional<platform::StoreFailure>& failure) -> void {
  if (failure) {
    LogEvent(LogLevel::kWarning, event)
        .With("step", failure->step_)
        .With("peer", failure->peer_)
        .With("reason", failure->reason_);
  }
}

}  // namespace

PlatformIo::PlatformIo(boost::asio::io_context& io, const Settings& settings,
                       PlatformEvents& to_control, MetricsRegistry& metrics,
                       std::uint64_t seed)
    : io_(io), to_control_(to_control), metrics_(metrics) {
  platform::StoreClientSettings store;
  for (const auto& endpoint : settings.store_) {
    store.addresses_.push_back(endpoint.ToString());
  }
  store.answer_timeout_ = settings.store_timeout_;
  store.seed_ = seed;
  store_ = std::make_unique<platform::StoreClient>(io, store);
  if (!settings.instance_list_.empty()) {
    PollInstances(settings);
  }
}

auto PlatformIo::PollInstances(const Settings& settings) -> void {
  instances_ = std::make_unique<platform::InstanceListClient>(
      io_, settings.instance_list_.front().ToString());
  instances_->Poll(
      settings.instance_list_interval_,
      [this](platform::InstanceListResult result) {
        LogFailure("instance_list_failed", result.failure_);
        if (!result.failure_) {
          to_control_.Send(InstancesListed{std::move(result.instances_)});
        }
      });
}

auto PlatformIo::Handle(PlatformCommand&& command) -> void {
  std::visit(
      [this](auto& value) {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, ReadContracts>) {
          ReadAllContracts();
        } else if constexpr (std::is_same_v<T, WatchContracts>) {
          Watch(value.from_);
        } else if constexpr (std::is_same_v<T, ReadRoster>) {
          ReadRosterKey();
        } else if constexpr (std::is_same_v<T, SwapRoster>) {
          Swap(value);
        } else if constexpr (std::is_same_v<T, CallClaim>) {
          Claim(std::move(value));
        }
      },
      command);
  CountCalls();
}

auto PlatformIo::CountCalls() -> void {
  const auto& counts = store_->counts();
  const auto set = [this](const char* kind, std::uint64_t count) {
    metrics_.Set("baobab_store_calls", "kind=\"" + std::string(kind) + "\"",
                 static_cast<double>(count));
  };
  set("read", counts.reads_);
  set("write", counts.writes_);
  set("lease", counts.leases_);
  set("watch", counts.watches_);
}

auto PlatformIo::ReadAllContracts() -> void {
  store_->ReadPrefix(
      std::string(contract::kContractPrefix),
      [this, sent = SystemClock().Now()](const platform::ReadResult& result) {
        LogFailure("contracts_read_failed", result.failure_);
        ContractsRead read;
        read.failed_ = result.failure_.has_value();
        read.revision_ = result.revision_;
        read.sent_ = sent;
        for (const auto& stored : result.values_) {
          if (auto record = ToRecord(stored, false)) {
            read.records_.push_back(std::move(*record));
          }
        }
        to_control_.Send(std::move(read));
      });
}

auto PlatformIo::Watch(Revision from) -> void {
  watch_.Stop();
  if (from == 0) {
    return;
  }
  platform::WatchEvents events;
  events.on_changes_ =
      [this](const std::vector<platform::WatchEvent>& changes) {
        ContractsChanged changed;
        for (const auto& change : changes) {
          if (auto record = ToRecord(change.value_, change.deleted_)) {
            changed.records_.push_back(std::move(*record));
          }
        }
        to_control_.Send(std::move(changed));
      };
  events.on_compacted_ = [this](Revision) {
    to_control_.Send(ContractHistoryLost{});
  };
  events.on_connected_ = [](bool connected) {
    LogEvent(LogLevel::kInfo, "contract_watch").With("connected", connected);
  };
  watch_ = store_->Watch(std::string(contract::kContractPrefix), from,
                         std::move(events));
}

auto PlatformIo::ReadRosterKey() -> void {
  store_->Read(std::string(membership::kRosterKey),
               [this](const platform::ReadResult& result) {
                 RosterRead read;
                 read.failed_ = result.failure_.has_value();
                 if (!result.values_.empty()) {
                   read.revision_ = result.values_[0].mod_revision_;
                   read.value_ = result.values_[0].value_;
                 }
                 to_control_.Send(std::move(read));
               });
}

auto PlatformIo::Swap(const SwapRoster& swap) -> void {
  store_->CompareAndSwap(std::string(membership::kRosterKey), swap.expected_,
                         swap.value_, 0,
                         [this](const platform::WriteResult& result) {
                           LogFailure("roster_write_failed", result.failure_);
                           to_control_.Send(RosterSwapped{});
                         });
}

auto PlatformIo::Claim(CallClaim call) -> void {
  if (call.action_ == ClaimAction::kRead) {
    ReadClaim(call);
    return;
  }
  const auto now = SystemClock().Now();
  if (claim_lease_ != 0 && now < lease_renewal_) {
    CreateClaim(call);
    return;
  }
  store_->GrantLease(kLeaseTime, [this, call = std::move(call),
                                  now](const platform::LeaseResult& result) {
    if (result.effect_ != platform::Effect::kTookEffect) {
      LogFailure("claim_lease_failed", result.failure_);
      ClaimAnswer answer;
      answer.kind_ = ClaimAnswer::Kind::kNotSent;
      Answer(call, answer);
      return;
    }
    claim_lease_ = result.id_;
    lease_renewal_ = now + kLeaseUse;
    CreateClaim(call);
  });
}

auto PlatformIo::CreateClaim(const CallClaim& call) -> void {
  store_->CreateIfAbsent(ClaimKey(call.ref_), call.record_.Encode(),
                         claim_lease_,
                         [this, call](const platform::WriteResult& result) {
                           LogFailure("claim_failed", result.failure_);
                           Answer(call, ToAnswer(result));
                         });
}

auto PlatformIo::ReadClaim(const CallClaim& call) -> void {
  store_->Read(ClaimKey(call.ref_),
               [this, call](const platform::ReadResult& result) {
                 LogFailure("claim_read_failed", result.failure_);
                 ClaimAnswer answer;
                 if (!result.failure_ && result.values_.empty()) {
                   answer.kind_ = ClaimAnswer::Kind::kAbsent;
                 } else if (!result.failure_) {
                   answer = ExistingClaim(result.values_[0]);
                 }
                 Answer(call, answer);
               });
}

auto PlatformIo::Answer(const CallClaim& call, ClaimAnswer answer) -> void {
  answer.call_ = call.call_;
  to_control_.Send(ClaimAnswered{call.ref_, std::move(answer)});
}

}  // namespace baobab
