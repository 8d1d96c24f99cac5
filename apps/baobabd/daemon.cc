#include "daemon.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <random>
#include <utility>

#include "baobab_base/log.h"
#include "baobab_membership/member.h"

namespace baobab {
namespace {

// Elements per ring; the largest element is a request of at most 4 MiB, and
// new requests use at most three quarters of the ring.
constexpr std::size_t kRequestRing = 1024;
constexpr std::size_t kChunkRing = 4096;

auto DrawSeed() -> std::uint64_t {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

auto NewIncarnation() -> Incarnation {
  Random random(DrawSeed());
  return membership::DrawIncarnation(
      std::chrono::time_point_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now()),
      random);
}

}  // namespace

Daemon::Daemon(const Settings& settings, std::string settings_file)
    : settings_file_(std::move(settings_file)),
      signals_(main_io_),
      caller_thread_("caller_io"),
      target_thread_("target_io"),
      platform_thread_("platform"),
      peer_thread_("peers"),
      control_thread_("control"),
      caller_events_(caller_thread_.io(), control_thread_.io(), kRequestRing),
      caller_commands_(control_thread_.io(), caller_thread_.io(), kChunkRing),
      target_commands_(control_thread_.io(), target_thread_.io(), kRequestRing),
      target_events_(target_thread_.io(), control_thread_.io(), kChunkRing),
      peer_commands_(control_thread_.io(), peer_thread_.io(), kRequestRing),
      peer_events_(peer_thread_.io(), control_thread_.io(), kRequestRing),
      platform_commands_(control_thread_.io(), platform_thread_.io(),
                         kRequestRing),
      platform_events_(platform_thread_.io(), control_thread_.io(),
                       kRequestRing),
      context_{control_thread_.io(),
               settings,
               {settings.instance_, NewIncarnation()},
               metrics_,
               caller_commands_,
               target_commands_,
               platform_commands_,
               Random(DrawSeed())} {
  caller_io_ = std::make_unique<CallerIo>(caller_thread_.io(), settings,
                                          caller_events_, metrics_);
  target_io_ =
      std::make_unique<TargetIo>(target_thread_.io(), settings, target_events_);
  platform_io_ = std::make_unique<PlatformIo>(
      platform_thread_.io(), settings, platform_events_, metrics_, DrawSeed());
  caller_io_->Listen(settings);
  context_.caller_address_ = settings.caller_address_.host_ + ":" +
                             std::to_string(caller_io_->caller_port());
  if (!settings.peer_address_.host_.empty()) {
    peer_io_ =
        std::make_unique<PeerIo>(peer_thread_.io(), settings, peer_events_);
    context_.settings_.peer_address_.port_ = peer_io_->port();
  }
  control_ = std::make_unique<Control>(context_, [this] { Stop(); });
  if (peer_io_) {
    control_->SetPeerCommands(&peer_commands_);
  }
  ConnectChannels();
}

auto Daemon::ConnectChannels() -> void {
  caller_events_.OnMessage(
      [this](CallerEvent&& event) { control_->Handle(std::move(event)); });
  caller_commands_.OnMessage([this](CallerCommand&& command) {
    caller_io_->Handle(std::move(command));
  });
  target_commands_.OnMessage([this](TargetCommand&& command) {
    target_io_->Handle(std::move(command));
  });
  target_events_.OnMessage(
      [this](TargetEvent&& event) { control_->Handle(std::move(event)); });
  // While caller I/O does not keep up, chunks stay in the ring, and a full
  // ring stops reading from the targets.
  target_events_.OnlyWhile([this] { return !caller_commands_.congested(); });
  caller_commands_.OnCongestion([this](bool congested) {
    if (!congested) {
      target_events_.Resume();
    }
  });
  platform_commands_.OnMessage([this](PlatformCommand&& command) {
    platform_io_->Handle(std::move(command));
  });
  peer_commands_.OnMessage(
      [this](PeerCommand&& command) { peer_io_->Handle(command); });
  peer_events_.OnMessage([this](peers::PeerMessage&& message) {
    control_->Handle(std::move(message));
  });
  platform_events_.OnMessage(
      [this](PlatformEvent&& event) { control_->Handle(std::move(event)); });
}

Daemon::~Daemon() {
  // Ends the callbacks of nng, which post to the peers thread.
  peer_thread_.Stop();
  peer_io_.reset();
  caller_thread_.Stop();
  target_thread_.Stop();
  platform_thread_.Stop();
  control_thread_.Stop();
}

auto Daemon::Start() -> void {
  boost::asio::post(control_thread_.io(), [this] { control_->Start(); });
  control_thread_.Start();
  target_thread_.Start();
  platform_thread_.Start();
  peer_thread_.Start();
  caller_thread_.Start();
  LogEvent(LogLevel::kInfo, "started")
      .With("instance", context_.self_.instance_.value())
      .With("incarnation", context_.self_.incarnation_)
      .With("version", BAOBAB_VERSION)
      .With("caller_port", caller_port())
      .With("admin_port", admin_port());
}

auto Daemon::RunUntilDrained() -> void {
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
  AwaitSignal();
  main_io_.run();
}

auto Daemon::AwaitSignal() -> void {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal == SIGHUP) {
          Reload();
        } else {
          Drain();
        }
        AwaitSignal();
      });
}

auto Daemon::Reload() -> void {
  auto result = LoadSettings(settings_file_);
  for (const auto& error : result.errors_) {
    LogEvent(LogLevel::kError, "settings_rejected").With("error", error);
  }
  if (result.errors_.empty()) {
    InitializeLog(result.settings_.log_level_);
    boost::asio::post(control_thread_.io(),
                      [this, settings = std::move(result.settings_)] {
                        control_->ApplySettings(settings);
                      });
  }
}

auto Daemon::Drain() -> void {
  boost::asio::post(control_thread_.io(), [this] { control_->BeginDrain(); });
}

auto Daemon::Stop() -> void { main_io_.stop(); }

auto Daemon::caller_port() const -> std::uint16_t {
  return caller_io_->caller_port();
}

auto Daemon::admin_port() const -> std::uint16_t {
  return caller_io_->admin_port();
}

}  // namespace baobab
