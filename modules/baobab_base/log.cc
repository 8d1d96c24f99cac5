#include "baobab_base/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <mutex>
#include <sstream>

namespace baobab {
namespace {

/// Bytes of lines that wait for the reader: several seconds of a busy instance.
constexpr std::size_t kBufferBytes = std::size_t{128} * 1024;
/// Part of the buffer that only warnings and errors may use.
constexpr std::size_t kReservedBytes = std::size_t{32} * 1024;
/// A pipe that is ready for writing takes this many bytes without waiting
/// (PIPE_BUF of Linux).
constexpr std::size_t kPieceBytes = 4096;

/// Collects lines in memory until Flush.
class BufferAppender : public log4cplus::Appender {
 public:
  BufferAppender() = default;
  ~BufferAppender() override { destructorImpl(); }
  auto close() -> void override { closed = true; }

  auto Flush() -> void {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (dropped_ > 0 && buffer_.size() < kBufferBytes - kReservedBytes) {
      buffer_ += "level=WARN event=log_lines_dropped count=" +
                 std::to_string(std::exchange(dropped_, 0)) + "\n";
    }
    std::size_t written = 0;
    while (written < buffer_.size()) {
      pollfd output{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
        break;
      }
      const auto size = write(STDOUT_FILENO, buffer_.data() + written,
                              std::min(kPieceBytes, buffer_.size() - written));
      if (size <= 0) {
        break;
      }
      written += static_cast<std::size_t>(size);
    }
    buffer_.erase(0, written);
  }

 protected:
  auto append(const log4cplus::spi::InternalLoggingEvent& event)
      -> void override {
    const bool important = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
    const auto room = important ? kBufferBytes : kBufferBytes - kReservedBytes;
    const std::lock_guard<std::mutex> lock(mutex_);
    text_.str({});
    layout->formatAndAppend(text_, event);
    const auto line = text_.str();
    if (buffer_.size() + line.size() > room) {
      ++dropped_;
      return;
    }
    buffer_ += line;
  }

 private:
  std::mutex mutex_;
  std::ostringstream text_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

/// The appender of InitializeBufferedLog, or nullptr.
auto SharedBuffer() -> log4cplus::helpers::SharedObjectPtr<BufferAppender>& {
  static log4cplus::helpers::SharedObjectPtr<BufferAppender> buffer;
  return buffer;
}

auto Layout() -> std::unique_ptr<log4cplus::Layout> {
  return std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
}

auto ToLog4cplus(LogLevel level) -> log4cplus::LogLevel {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

auto UseAppender(const log4cplus::SharedAppenderPtr& appender, LogLevel level)
    -> void {
  appender->setLayout(Layout());
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(level));
}

auto NeedsQuotes(std::string_view value) -> bool {
  return value.empty() ||
         std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

auto AppendQuoted(std::string& line, std::string_view value) -> void {
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (c == '\n') {
      line += "\\n";
    } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\x%02x",
                    static_cast<unsigned char>(c));
      line += escaped.data();
    } else {
      line += c;
    }
  }
  line += '"';
}

}  // namespace

auto InitializeLog(LogLevel level) -> void {
  static log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(
      /*logToStdErr=*/true, /*immediateFlush=*/true));
  UseAppender(appender, level);
}

auto InitializeBufferedLog(LogLevel level) -> void {
  static log4cplus::Initializer initializer;
  SharedBuffer() = new BufferAppender();
  UseAppender(log4cplus::SharedAppenderPtr(SharedBuffer().get()), level);
}

auto FlushLog() -> void {
  if (const auto buffer = SharedBuffer()) {
    buffer->Flush();
  }
}

auto ParseLogLevel(std::string_view name) -> std::optional<LogLevel> {
  constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kNames = {
      {{"debug", LogLevel::kDebug},
       {"info", LogLevel::kInfo},
       {"warning", LogLevel::kWarning},
       {"error", LogLevel::kError}}};
  for (const auto& [text, level] : kNames) {
    if (text == name) {
      return level;
    }
  }
  return std::nullopt;
}

LogEvent::LogEvent(LogLevel level, std::string_view event) : level_(level) {
  line_ = "event=";
  line_ += event;
}

LogEvent::~LogEvent() {
  auto root = log4cplus::Logger::getRoot();
  if (root.isEnabledFor(ToLog4cplus(level_))) {
    root.forcedLog(ToLog4cplus(level_), line_);
  }
}

auto LogEvent::With(std::string_view key, std::string_view value) -> LogEvent& {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(line_, value);
  } else {
    line_ += value;
  }
  return *this;
}

}  // namespace baobab
