#include "baobab_platform/store_endpoint.h"

#include <utility>

#include "baobab_base/step_error.h"

namespace baobab::platform {
namespace {

constexpr std::size_t kIdleConnections = 4;
constexpr Duration kIdleTime = std::chrono::seconds(30);

}  // namespace

StoreEndpoint::StoreEndpoint(boost::asio::io_context& context,
                             const StoreClientSettings& settings)
    : settings_(settings),
      pool_(std::make_shared<ConnectionPool>(context, kIdleConnections,
                                             kIdleTime)) {
  for (const auto& address : settings_.addresses_) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      throw StepError("store.address", address, "not an IP address and port");
    }
    endpoints_.push_back(*endpoint);
  }
  if (endpoints_.empty()) {
    throw StepError("store.address", "settings", "no address is given");
  }
}

auto StoreEndpoint::Post(std::string path, std::string body) const
    -> TargetRequest {
  TargetRequest request;
  request.endpoint_ = endpoints_[current_];
  request.method_ = "POST";
  request.path_ = std::move(path);
  request.headers_ = {{"Content-Type", "application/json"}};
  request.body_ = std::move(body);
  request.timeouts_.connect_ = settings_.connect_timeout_;
  request.timeouts_.send_ = settings_.answer_timeout_;
  request.timeouts_.head_ = settings_.answer_timeout_;
  request.timeouts_.body_ = settings_.answer_timeout_;
  return request;
}

auto StoreEndpoint::MarkFailed(const std::string& failed) -> void {
  if (address() == failed) {
    pool_->Drop(endpoints_[current_]);
    current_ = (current_ + 1) % endpoints_.size();
  }
}

}  // namespace baobab::platform
