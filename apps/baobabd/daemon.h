#pragma once

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "baobab_base/metrics_registry.h"
#include "caller_io.h"
#include "control.h"
#include "duty_thread.h"
#include "peer_io.h"
#include "platform_io.h"
#include "target_io.h"

namespace baobab {

/// One daemon: its threads, the channels between them and their duties.
class Daemon {
 public:
  /// Binds its addresses. `settings_file` is read again on Reload; it may be
  /// empty. Throws StepError.
  Daemon(const Settings& settings, std::string settings_file);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;

  /// Starts all threads.
  auto Start() -> void;

  /// Runs until a drain has ended; handles SIGTERM and SIGINT (drain) and
  /// SIGHUP (reload).
  auto RunUntilDrained() -> void;

  /// Starts a graceful stop. Any thread.
  auto Drain() -> void;

  /// Ends RunUntilDrained without a drain; for tests.
  auto Stop() -> void;

  [[nodiscard]] auto caller_port() const -> std::uint16_t;
  [[nodiscard]] auto admin_port() const -> std::uint16_t;
  /// 0 without a peer address.
  [[nodiscard]] auto peer_port() const -> std::uint16_t {
    return peer_io_ ? peer_io_->port() : 0;
  }

 private:
  auto ConnectChannels() -> void;
  auto AwaitSignal() -> void;
  auto Reload() -> void;

  std::string settings_file_;
  MetricsRegistry metrics_;
  boost::asio::io_context main_io_;
  boost::asio::signal_set signals_;
  DutyThread caller_thread_;
  DutyThread target_thread_;
  DutyThread platform_thread_;
  DutyThread peer_thread_;
  DutyThread control_thread_;
  CallerEvents caller_events_;
  CallerCommands caller_commands_;
  TargetCommands target_commands_;
  TargetEvents target_events_;
  PeerCommands peer_commands_;
  PeerEvents peer_events_;
  PlatformCommands platform_commands_;
  PlatformEvents platform_events_;
  ControlContext context_;
  std::unique_ptr<CallerIo> caller_io_;
  std::unique_ptr<TargetIo> target_io_;
  std::unique_ptr<PlatformIo> platform_io_;
  std::unique_ptr<PeerIo> peer_io_;  ///< Null without a peer address.
  std::unique_ptr<Control> control_;
};

}  // namespace baobab
