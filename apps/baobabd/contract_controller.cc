#include "contract_controller.h"

#include <utility>

#include "baobab_base/log.h"

namespace baobab {
namespace {

constexpr auto kReaderInterval = std::chrono::seconds(2);
// A read also confirms for the peers that nothing changed. At 10 s between
// reads, every instance was stale and out of the entry responses in between.
static_assert(2 * kReaderInterval < contract::ContractRegister::kFreshness);
// While contracts are missing or stale; drawn from the upper half, so that a
// fleet does not return to a recovering store at once.
constexpr auto kStartInterval = std::chrono::seconds(1);
constexpr auto kStaleInterval = std::chrono::seconds(5);

}  // namespace

ContractController::ContractController(ControlContext& context,
                                       PlatformCommands& commands,
                                       std::function<void()> on_change,
                                       SendMessages send)
    : context_(context),
      commands_(commands),
      on_change_(std::move(on_change)),
      send_(std::move(send)),
      gossip_(&context.contracts_) {}

auto ContractController::ReadLater(Duration interval) -> void {
  std::uniform_int_distribution<Duration::rep> draw(interval.count() / 2,
                                                    interval.count());
  next_read_ = context_.Now() + Duration(draw(context_.random_));
}

auto ContractController::Tick(bool reader) -> void {
  const auto now = context_.Now();
  const bool needed = reader || !context_.contracts_.complete() ||
                      context_.contracts_.IsStale(now);
  if (reader_ && !reader) {
    watching_ = false;
    commands_.Send(WatchContracts{0});
  }
  if (reader && !reader_) {
    next_read_ = now;
  }
  reader_ = reader;
  if (needed && !read_pending_ && now >= next_read_) {
    read_pending_ = true;
    commands_.Send(ReadContracts{});
  }
}

auto ContractController::OnRead(const ContractsRead& read) -> void {
  read_pending_ = false;
  if (read.failed_) {
    ReadLater(context_.contracts_.complete() ? Duration(kStaleInterval)
                                             : Duration(kStartInterval));
    return;
  }
  // Half of the interval is jitter; the upper bound is what the design names.
  ReadLater(kReaderInterval);
  Send(gossip_.OnStoreRead(read.records_, read.sent_));
  if (reader_ && !std::exchange(watching_, true)) {
    commands_.Send(WatchContracts{read.revision_ + 1});
  }
  Changed();
}

auto ContractController::OnChanged(const ContractsChanged& changed) -> void {
  Send(gossip_.OnStoreRecords(changed.records_));
  Changed();
}

auto ContractController::OnHistoryLost() -> void {
  watching_ = false;
  next_read_ = context_.Now();
}

auto ContractController::Changed() -> void {
  if (seen_ == context_.contracts_.digest()) {
    return;
  }
  seen_ = context_.contracts_.digest();
  for (const auto& [customer, revision] : context_.contracts_.Revisions()) {
    const auto faults = context_.contracts_.Faults(customer);
    LogEvent(LogLevel::kDebug, "contract_known")
        .With("customer", customer.value())
        .With("revision", revision)
        .With("faults", contract::FormatFaults(faults));
  }
  LogEvent(LogLevel::kInfo, "contracts_changed")
      .With("highest_revision", seen_.highest_)
      .With("active", context_.contracts_.ActiveContracts().size());
  on_change_();
}

}  // namespace baobab
