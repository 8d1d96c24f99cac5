#include "store_session.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <utility>

#include "baobab_base/clock.h"
#include "baobab_base/step_error.h"
#include "baobab_platform/jittered_backoff.h"
#include "baobab_platform/store_client.h"

namespace baobab::ctl {
namespace {

using contract::ChangeAction;
using contract::ContractRecord;

constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kLongestBackoff = std::chrono::seconds(1);

auto ToRecord(const platform::StoredValue& stored) -> ContractRecord {
  const auto customer = contract::CustomerOfKey(stored.key_);
  auto value = contract::DecodeContractValue(stored.value_);
  if (!customer || !value) {
    throw StepError("contract.decode", stored.key_,
                    "the stored value is malformed");
  }
  return {*customer, stored.mod_revision_, std::move(*value)};
}

auto ToRecord(const std::optional<platform::StoredValue>& stored)
    -> std::optional<ContractRecord> {
  return stored ? std::optional(ToRecord(*stored)) : std::nullopt;
}

}  // namespace

/// Runs the asynchronous client until each result arrives.
class StoreSession::Impl {
 public:
  Impl(const std::vector<std::string>& addresses, Duration time_limit)
      : deadline_(clock_.Now() + time_limit), random_(std::random_device{}()) {
    platform::StoreClientSettings settings;
    settings.addresses_ = addresses;
    settings.answer_timeout_ = std::min(settings.answer_timeout_, time_limit);
    client_ = std::make_unique<platform::StoreClient>(context_, settings);
  }

  /// Starts a call and waits for its result.
  template <class Result, class Start>
  auto Await(Start start) -> Result {
    std::vector<Result> results;
    start(*client_,
          [&results](Result result) { results.push_back(std::move(result)); });
    context_.restart();
    while (results.empty()) {
      context_.run_one();
    }
    return std::move(results.front());
  }

  /// Reads until an answer comes. Throws StepError at the time limit.
  auto Read(const std::string& key, bool prefix) -> platform::ReadResult {
    while (true) {
      auto result = ReadOnce(key, prefix);
      if (!result.failure_) {
        return result;
      }
      if (IsOver()) {
        throw StepError("store." + result.failure_->step_,
                        result.failure_->peer_, result.failure_->reason_);
      }
      Wait();
    }
  }

  auto ReadOnce(const std::string& key, bool prefix) -> platform::ReadResult {
    return Await<platform::ReadResult>([&](auto& client, auto done) {
      prefix ? client.ReadPrefix(key, done) : client.Read(key, done);
    });
  }

  [[nodiscard]] auto IsOver() const -> bool {
    return clock_.Now() >= deadline_;
  }

  /// Waits before the next attempt, at most until the time limit.
  auto Wait() -> void {
    boost::asio::steady_timer timer(context_);
    timer.expires_at(
        std::min(deadline_, clock_.Now() + backoff_.Next(random_)));
    bool over = false;
    timer.async_wait(
        [&over](const boost::system::error_code& /*error*/) { over = true; });
    context_.restart();
    while (!over) {
      context_.run_one();
    }
  }

  auto StepRead(contract::ContractChange& change, const std::string& key)
      -> ChangeAction {
    const auto read = ReadOnce(key, /*prefix=*/false);
    if (read.failure_) {
      Wait();
      return change.OnReadLost();
    }
    return change.OnRead(read.values_.empty()
                             ? std::nullopt
                             : std::optional(ToRecord(read.values_.front())));
  }

  auto StepSwap(contract::ContractChange& change, const std::string& key)
      -> ChangeAction {
    const auto value = contract::EncodeContractValue(change.swap_value());
    const auto write =
        Await<platform::WriteResult>([&](auto& client, auto done) {
          client.CompareAndSwap(key, change.swap_revision(), value, 0, done);
        });
    if (write.effect_ == platform::Effect::kTookEffect) {
      return change.OnSwapAccepted(write.revision_);
    }
    if (write.compare_failed_) {
      return change.OnSwapRefused(ToRecord(write.current_));
    }
    Wait();
    return write.effect_ == platform::Effect::kUnknown ? change.OnSwapLost()
                                                       : change.OnSwapNotSent();
  }

 private:
  SystemClock clock_;
  TimePoint deadline_;
  Random random_;
  platform::JitteredBackoff backoff_{kFirstBackoff, kLongestBackoff};
  boost::asio::io_context context_;
  std::unique_ptr<platform::StoreClient> client_;
};

StoreSession::StoreSession(const std::vector<std::string>& addresses,
                           Duration time_limit)
    : impl_(std::make_unique<Impl>(addresses, time_limit)) {}

StoreSession::~StoreSession() = default;

auto StoreSession::ReadPrefix(const std::string& prefix)
    -> std::vector<platform::StoredValue> {
  return impl_->Read(prefix, /*prefix=*/true).values_;
}

auto StoreSession::ReadContract(const CustomerId& customer)
    -> std::optional<ContractRecord> {
  const auto result =
      impl_->Read(contract::ContractKey(customer), /*prefix=*/false);
  return result.values_.empty()
             ? std::nullopt
             : std::optional(ToRecord(result.values_.front()));
}

auto StoreSession::ReadContracts() -> std::vector<ContractRecord> {
  std::vector<ContractRecord> records;
  for (const auto& stored :
       ReadPrefix(std::string(contract::kContractPrefix))) {
    records.push_back(ToRecord(stored));
  }
  return records;
}

auto StoreSession::RunChange(const contract::ContractChangeRequest& request)
    -> contract::ChangeResult {
  contract::ContractChange change(request);
  const auto key = contract::ContractKey(request.customer_);
  auto action = change.Start();
  while (action != ChangeAction::kFinished) {
    if (impl_->IsOver()) {
      action = change.OnTimeLimit();
    } else if (action == ChangeAction::kRead) {
      action = impl_->StepRead(change, key);
    } else {
      action = impl_->StepSwap(change, key);
    }
  }
  return change.result();
}

}  // namespace baobab::ctl
