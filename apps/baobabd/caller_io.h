#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "baobab_base/metrics_registry.h"
#include "messages.h"
#include "settings.h"

namespace baobab {

/// Duty of the caller I/O thread: the HTTP servers for callers and operators.
/// Requests go to control; what control answers is sent.
class CallerIo {
 public:
  CallerIo(boost::asio::io_context& io, const Settings& settings,
           CallerEvents& to_control, MetricsRegistry& metrics);

  /// Binds both addresses. Throws StepError. Call before the thread starts.
  auto Listen(const Settings& settings) -> void;

  /// Carries out a command of control.
  auto Handle(CallerCommand&& command) -> void;

  /// Bound ports, which differ from the settings where those say 0.
  [[nodiscard]] auto caller_port() const -> std::uint16_t {
    return caller_port_;
  }
  [[nodiscard]] auto admin_port() const -> std::uint16_t { return admin_port_; }

 private:
  auto HandlersFor(bool admin) -> HttpHandlers;
  auto ServerOf(const CallerRef& caller) -> HttpServer& {
    return caller.admin_ ? admin_ : callers_;
  }
  auto OnRequest(CallerRef caller, HttpRequest request) -> void;
  auto RefuseFull(const CallerRef& caller) -> void;
  auto Send(SendResponse command) -> void;
  auto EchoRequestId(const CallerRef& caller, HttpResponse& response) -> void;
  auto WaitForCallers() -> void;

  CallerEvents& to_control_;
  MetricsRegistry& metrics_;
  HttpServer callers_;
  HttpServer admin_;
  boost::asio::steady_timer timer_;
  std::unordered_map<CallerRef, std::string, CallerRefHash> request_ids_;
  std::uint16_t caller_port_ = 0;
  std::uint16_t admin_port_ = 0;
};

}  // namespace baobab
