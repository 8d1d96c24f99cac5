#include "baobab_targets/service_client.h"

namespace baobab {

auto OutcomeOfStatus(unsigned status) -> Outcome {
  if (status == 429 || status == 421) {
    return Outcome::kNotRun;
  }
  if (status >= 502 && status <= 504) {
    return Outcome::kUnknown;
  }
  return Outcome::kCompleted;
}

auto ServiceClient::Start(ServiceCall call, WholeEvents events)
    -> std::shared_ptr<TargetExchange> {
  TargetRequest request;
  request.endpoint_ = std::move(call.endpoint_);
  request.method_ = std::move(call.method_);
  request.path_ = std::move(call.path_);
  request.headers_ = std::move(call.headers_);
  request.body_ = std::move(call.body_);
  request.timeouts_ = timeouts_;
  request.new_connection_ = !call.idempotent_;
  return StartWholeExchange(pool_, std::move(request), max_body_bytes_,
                            std::move(events));
}

}  // namespace baobab
