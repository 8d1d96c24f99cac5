#pragma once

#include <memory>
#include <optional>
#include <string>

#include "baobab_base/time_types.h"
#include "baobab_gateway/buffer_budget.h"
#include "baobab_gateway/event_stream.h"
#include "baobab_gateway/ingress_types.h"
#include "baobab_gateway/manifest.h"
#include "baobab_gateway/work_item.h"
#include "baobab_http/http_message.h"
#include "baobab_targets/target_exchange.h"

namespace baobab::gateway {

/// An admitted request, from the queue to the end of its response.
struct ActiveRequest {
  ExchangeId exchange_ = 0;
  HttpRequest request_;  // without its body
  std::shared_ptr<const std::string> request_body_;
  IngressRequest ingress_;
  std::shared_ptr<const Route> route_;
  WorkItem item_;
  std::shared_ptr<TargetExchange> attempt_;
  std::string target_;
  std::string target_version_;  // of its software
  TargetEndpoint endpoint_;     // of the target
  int accepted_attempts_ = 0;   // received and not rejected by a target
  int attempts_ = 0;
  int refusals_ = 0;  // rejections by targets at capacity
  bool may_have_run_ = false;
  bool response_started_ = false;  // part was sent to the caller
  std::optional<TargetResponseHead> head_;
  // The response is an event stream of the target. Any other one must not
  // reach a caller as part of a stream.
  bool is_event_stream_ = false;
  std::string body_;
  BufferBudget::Share buffered_;  // of body_ or of an incomplete event
  Duration first_event_{};        // from arrival to the first event
  TimePoint last_event_at_{};
  Duration longest_event_gap_{};  // between writes to the caller
  EventStream events_;
  TimePoint sent_at_{};
  double cap_units_ = 0;      // taken from the cap of the account
  TimePoint cap_taken_at_{};  // boot clock
  bool cap_spent_ = false;    // a target may have run the request since
};

/// A request that is deferred until the routes and targets are known, or until
/// its key or the origin of its stream can be decided on.
struct DeferredRequest {
  HttpRequest request_;
  IngressRequest ingress_;
  TimePoint arrived_{};
  TimePoint expires_at_{};
};

}  // namespace baobab::gateway
