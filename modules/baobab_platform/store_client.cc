#include "baobab_platform/store_client.h"

#include <utility>

#include "baobab_platform/store_endpoint.h"
#include "baobab_platform/store_messages.h"
#include "baobab_platform/store_watch.h"
#include "baobab_targets/whole_exchange.h"

namespace baobab::platform {
namespace {

constexpr unsigned kOk = 200;

/// Statuses with which the gateway refuses a call before it takes effect.
auto IsRefusal(unsigned status) -> bool {
  return status == 400 || status == 404 || status == 429;
}

auto ToFailure(const AttemptFailure& failure) -> StoreFailure {
  return {failure.step_, failure.peer_, failure.reason_};
}

auto ToEffect(const AttemptFailure& failure) -> Effect {
  return failure.outcome_ == Outcome::kNotRun ? Effect::kDidNotTakeEffect
                                              : Effect::kUnknown;
}

}  // namespace

/// The calls, each with its parse function and result type.
class StoreClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context, const StoreClientSettings& settings)
      : endpoint_(std::make_shared<StoreEndpoint>(context, settings)),
        next_seed_(settings.seed_) {}

  /// Sends one call. `parse` turns the body of a good answer into a Result.
  template <class Result>
  auto Call(const char* path, std::string body,
            std::optional<Result> (*parse)(std::string_view),
            std::function<void(Result)> on_result) -> void {
    auto request = endpoint_->Post(path, std::move(body));
    const auto address = endpoint_->address();
    WholeEvents events;
    events.on_response_ = [self = shared_from_this(), address, parse,
                           on_result](const TargetResponse& response) {
      on_result(self->Read(response, address, parse));
    };
    events.on_failure_ = [self = shared_from_this(), address,
                          on_result](const AttemptFailure& failure) {
      self->endpoint_->MarkFailed(address);
      on_result(Failed<Result>(ToFailure(failure), ToEffect(failure)));
    };
    StartWholeExchange(endpoint_->pool(), std::move(request),
                       kMaxStoreAnswerBytes, std::move(events));
  }

  auto Watch(const std::string& prefix, Revision from, WatchEvents events)
      -> WatchHandle {
    auto watch = std::make_shared<StoreWatch>(
        endpoint_, prefix, from, std::move(events),
        [self = shared_from_this()] { ++self->counts_.watches_; },
        next_seed_++);
    watch->Start();
    return WatchHandle([watch] { watch->Stop(); });
  }

  [[nodiscard]] auto counts() -> StoreCallCounts& { return counts_; }

 private:
  template <class Result>
  static auto Failed(const StoreFailure& failure, Effect effect) -> Result {
    Result result;
    result.failure_ = failure;
    if constexpr (requires { result.effect_; }) {
      result.effect_ = effect;
    }
    return result;
  }

  template <class Result>
  auto Read(const TargetResponse& response, const std::string& address,
            std::optional<Result> (*parse)(std::string_view)) -> Result {
    const auto status = response.head_.status_;
    if (status == kOk) {
      if (auto result = parse(response.body_)) {
        return std::move(*result);
      }
      return Failed<Result>({"decode", address, "malformed answer"},
                            Effect::kUnknown);
    }
    StoreFailure failure{"refused", address,
                         "status " + std::to_string(status) + ": " +
                             ParseErrorText(response.body_)};
    if (IsRefusal(status)) {
      return Failed<Result>(failure, Effect::kDidNotTakeEffect);
    }
    endpoint_->MarkFailed(address);
    return Failed<Result>(failure, Effect::kUnknown);
  }

  std::shared_ptr<StoreEndpoint> endpoint_;
  std::uint64_t next_seed_;
  StoreCallCounts counts_;
};

StoreClient::StoreClient(boost::asio::io_context& context,
                         const StoreClientSettings& settings)
    : impl_(std::make_shared<Impl>(context, settings)) {}

StoreClient::~StoreClient() = default;

auto StoreClient::Read(const std::string& key, OnRead on_read) -> void {
  ++impl_->counts().reads_;
  impl_->Call("/v3/kv/range", BuildRange(key, ""), ParseRange,
              std::move(on_read));
}

auto StoreClient::ReadPrefix(const std::string& prefix, OnRead on_read)
    -> void {
  ++impl_->counts().reads_;
  impl_->Call("/v3/kv/range", BuildRange(prefix, PrefixEnd(prefix)), ParseRange,
              std::move(on_read));
}

auto StoreClient::CompareAndSwap(const std::string& key, Revision expected,
                                 const std::string& value, std::int64_t lease,
                                 OnWrite on_write) -> void {
  ++impl_->counts().writes_;
  impl_->Call("/v3/kv/txn", BuildSwap({key, expected, value, false, lease, {}}),
              ParseSwap, std::move(on_write));
}

auto StoreClient::GuardedSwap(const std::string& key, Revision expected,
                              const std::string& value,
                              const std::vector<KeyRevision>& guards,
                              OnWrite on_write) -> void {
  ++impl_->counts().writes_;
  impl_->Call("/v3/kv/txn", BuildSwap({key, expected, value, false, 0, guards}),
              ParseSwap, std::move(on_write));
}

auto StoreClient::CompareAndDelete(const std::string& key, Revision expected,
                                   OnWrite on_write) -> void {
  ++impl_->counts().writes_;
  impl_->Call("/v3/kv/txn", BuildSwap({key, expected, "", true, 0, {}}),
              ParseSwap, std::move(on_write));
}

auto StoreClient::GrantLease(std::chrono::seconds ttl, OnLease on_lease)
    -> void {
  ++impl_->counts().leases_;
  impl_->Call("/v3/lease/grant", BuildLease(0, ttl), ParseLease,
              std::move(on_lease));
}

auto StoreClient::KeepLeaseAlive(std::int64_t id, OnLease on_lease) -> void {
  ++impl_->counts().leases_;
  impl_->Call("/v3/lease/keepalive", BuildLease(id, {}), ParseLease,
              std::move(on_lease));
}

auto StoreClient::RevokeLease(std::int64_t id, OnLease on_lease) -> void {
  ++impl_->counts().leases_;
  impl_->Call("/v3/lease/revoke", BuildLease(id, {}), ParseLease,
              std::move(on_lease));
}

auto StoreClient::Watch(const std::string& prefix, Revision from,
                        WatchEvents events) -> WatchHandle {
  return impl_->Watch(prefix, from, std::move(events));
}

auto StoreClient::counts() const -> const StoreCallCounts& {
  return impl_->counts();
}

}  // namespace baobab::platform
