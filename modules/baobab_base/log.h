#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace baobab {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// Sends log lines of at least `level` to standard error, one line per event.
/// Call once at the start of a process.
auto InitializeLog(LogLevel level) -> void;

/// Returns the level called "debug", "info", "warning" or "error".
[[nodiscard]] auto ParseLogLevel(std::string_view name)
    -> std::optional<LogLevel>;

/// Sends log lines of at least `level` to standard output through a bounded
/// buffer, which FlushLog empties. Logging never waits for the reader: lines
/// that do not fit are dropped and counted, debug and information lines before
/// warnings and errors. Call once at the start of a process.
auto InitializeBufferedLog(LogLevel level) -> void;

/// Writes as much of the buffer as standard output takes without waiting.
auto FlushLog() -> void;

/// Builds one log line of key=value pairs for one event and writes it when
/// destroyed: `LogEvent(LogLevel::kInfo, "peer_joined").With("peer", id);`
///
/// Values that hold spaces, quotes, '=' or control characters are quoted.
class LogEvent {
 public:
  /// Starts a line with `event=<event>`.
  LogEvent(LogLevel level, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  auto operator=(const LogEvent&) -> LogEvent& = delete;

  /// Adds `key=value`.
  auto With(std::string_view key, std::string_view value) -> LogEvent&;

  /// Adds `key=value` for a number.
  template <class Number>
  requires std::is_arithmetic_v<Number>
  auto With(std::string_view key, Number value) -> LogEvent& {
    const std::string text = std::to_string(value);
    return With(key, text);
  }

  /// The line built so far.
  [[nodiscard]] auto line() const -> const std::string& { return line_; }

 private:
  LogLevel level_;
  std::string line_;
};

}  // namespace baobab
