#pragma once

#include <pthread.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>
#include <utility>

namespace baobab {

/// One thread that runs one io_context until it is stopped.
class DutyThread {
 public:
  /// `name` is at most 15 characters, as the system allows.
  explicit DutyThread(std::string name)
      : name_(std::move(name)), io_(1), guard_(io_.get_executor()) {}
  ~DutyThread() { Stop(); }
  DutyThread(const DutyThread&) = delete;
  auto operator=(const DutyThread&) -> DutyThread& = delete;

  /// Starts the thread.
  auto Start() -> void {
    thread_ = std::thread([this] {
      pthread_setname_np(pthread_self(), name_.c_str());
      io_.run();
    });
  }

  /// Stops after the handler in progress and joins the thread.
  auto Stop() -> void {
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  [[nodiscard]] auto io() -> boost::asio::io_context& { return io_; }

 private:
  std::string name_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

}  // namespace baobab
