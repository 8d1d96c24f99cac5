#include "baobab_targets/whole_exchange.h"

#include <utility>

namespace baobab {
namespace {

struct Collector {
  TargetResponse response_;
  WholeEvents events_;
  std::size_t max_bytes_ = 0;
  std::string peer_;
  std::weak_ptr<TargetExchange> exchange_;
};

auto Collect(const std::shared_ptr<Collector>& collector,
             std::string_view piece) -> void {
  collector->response_.body_ += piece;
  if (collector->response_.body_.size() <= collector->max_bytes_) {
    return;
  }
  if (const auto exchange = collector->exchange_.lock()) {
    exchange->Cancel();
  }
  AttemptFailure failure;
  failure.step_ = "receive";
  failure.peer_ = collector->peer_;
  failure.reason_ = "the response body exceeds " +
                    std::to_string(collector->max_bytes_) + " bytes";
  collector->events_.on_failure_(failure);
}

}  // namespace

auto StartWholeExchange(const std::shared_ptr<ConnectionPool>& pool,
                        TargetRequest request, std::size_t max_bytes,
                        WholeEvents events) -> std::shared_ptr<TargetExchange> {
  auto collector = std::make_shared<Collector>();
  collector->events_ = std::move(events);
  collector->max_bytes_ = max_bytes;
  collector->peer_ = request.endpoint_.ToString();
  auto& timeouts = request.timeouts_;
  if (timeouts.total_ == Duration::max()) {
    timeouts.total_ =
        timeouts.connect_ + timeouts.send_ + timeouts.head_ + timeouts.body_;
  }
  ExchangeEvents inner;
  inner.on_head_ = [collector](const TargetResponseHead& head) {
    collector->response_.head_ = head;
  };
  inner.on_data_ = [collector](std::string_view piece) {
    Collect(collector, piece);
  };
  inner.on_end_ = [collector] {
    collector->events_.on_response_(std::move(collector->response_));
  };
  inner.on_failure_ = [collector](const AttemptFailure& failure) {
    collector->events_.on_failure_(failure);
  };
  auto exchange =
      TargetExchange::Start(pool, std::move(request), std::move(inner));
  collector->exchange_ = exchange;
  return exchange;
}

}  // namespace baobab
