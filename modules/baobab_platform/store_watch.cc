#include "baobab_platform/store_watch.h"

#include <algorithm>
#include <utility>

namespace baobab::platform {

StoreWatch::StoreWatch(std::shared_ptr<StoreEndpoint> endpoint,
                       std::string prefix, Revision from, WatchEvents events,
                       std::function<void()> opened, std::uint64_t seed)
    : endpoint_(std::move(endpoint)),
      prefix_(std::move(prefix)),
      next_(from),
      events_(std::move(events)),
      opened_(std::move(opened)),
      random_(seed),
      backoff_(endpoint_->settings().first_backoff_,
               endpoint_->settings().longest_backoff_),
      timer_(endpoint_->pool()->io()) {}

auto StoreWatch::Start() -> void {
  if (stopped_) {
    return;
  }
  opened_();
  partial_line_.clear();
  address_ = endpoint_->address();
  auto request = endpoint_->Post("/v3/watch", BuildWatch(prefix_, next_));
  request.new_connection_ = true;
  request.timeouts_.body_ = endpoint_->settings().watch_silence_;
  const auto self = shared_from_this();
  ExchangeEvents events;
  events.on_head_ = [self](const TargetResponseHead& head) {
    self->OnHead(head.status_);
  };
  events.on_data_ = [self](std::string_view bytes) { self->OnData(bytes); };
  events.on_end_ = [self] { self->OnLost(); };
  events.on_failure_ = [self](const AttemptFailure& /*failure*/) {
    self->OnLost();
  };
  exchange_ = TargetExchange::Start(endpoint_->pool(), std::move(request),
                                    std::move(events));
}

auto StoreWatch::Stop() -> void {
  stopped_ = true;
  timer_.cancel();
  if (exchange_) {
    exchange_->Cancel();
    exchange_.reset();
  }
}

auto StoreWatch::OnHead(unsigned status) -> void {
  constexpr unsigned kOk = 200;
  if (status != kOk) {
    Abandon();
  }
}

auto StoreWatch::OnData(std::string_view bytes) -> void {
  partial_line_ += bytes;
  if (partial_line_.size() > kMaxStoreAnswerBytes) {
    Abandon();
    return;
  }
  if (bytes.find('\n') == std::string_view::npos) {
    return;  // the line goes on; it is not copied for each of its pieces
  }
  const std::string text = std::exchange(partial_line_, {});
  std::size_t start = 0;
  for (auto end = text.find('\n'); end != std::string::npos;
       end = text.find('\n', start)) {
    if (!OnLine({text.data() + start, end - start})) {
      return;
    }
    start = end + 1;
  }
  partial_line_ = text.substr(start);
}

auto StoreWatch::OnLine(std::string_view line) -> bool {
  const auto message = ParseWatchMessage(line);
  if (message && message->compact_revision_ != 0) {
    Stop();
    if (events_.on_compacted_) {
      events_.on_compacted_(message->compact_revision_);
    }
    return false;
  }
  if (!message || message->cancelled_) {
    // Skipping a message that cannot be read would lose its changes.
    Abandon();
    return false;
  }
  if (message->created_) {
    backoff_.Reset();
    SetConnected(true);
  }
  Deliver(message->events_);
  return !stopped_;
}

auto StoreWatch::Deliver(const std::vector<WatchEvent>& events) -> void {
  std::vector<WatchEvent> fresh;
  Revision last = next_ - 1;
  for (const auto& event : events) {
    // After a reconnect the service may deliver a revision again.
    if (event.value_.mod_revision_ >= next_) {
      fresh.push_back(event);
      last = std::max(last, event.value_.mod_revision_);
    }
  }
  next_ = last + 1;
  if (!fresh.empty() && events_.on_changes_) {
    events_.on_changes_(fresh);
  }
}

auto StoreWatch::Abandon() -> void {
  exchange_->Cancel();
  OnLost();
}

auto StoreWatch::OnLost() -> void {
  if (stopped_) {
    return;
  }
  exchange_.reset();
  endpoint_->MarkFailed(address_);
  SetConnected(false);
  timer_.expires_after(backoff_.Next(random_));
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
          self->Start();
        }
      });
}

auto StoreWatch::SetConnected(bool connected) -> void {
  if (std::exchange(connected_, connected) != connected &&
      events_.on_connected_) {
    events_.on_connected_(connected);
  }
}

}  // namespace baobab::platform
