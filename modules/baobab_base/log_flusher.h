#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "baobab_base/log.h"
#include "baobab_base/time_types.h"

namespace baobab {

/// Empties the log buffer several times a second, and at its end.
class LogFlusher {
 public:
  /// Age up to which lines wait; a process that is killed loses those.
  static constexpr Duration kInterval = std::chrono::milliseconds(200);

  explicit LogFlusher(boost::asio::io_context& io) : timer_(io) { Wait(); }
  ~LogFlusher() { FlushLog(); }
  LogFlusher(const LogFlusher&) = delete;
  auto operator=(const LogFlusher&) -> LogFlusher& = delete;

 private:
  auto Wait() -> void {
    timer_.expires_after(kInterval);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        FlushLog();
        Wait();
      }
    });
  }

  boost::asio::steady_timer timer_;
};

}  // namespace baobab
