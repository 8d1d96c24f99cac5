#pragma once

// A client that reads one stream, and takes it up again after its connection
// broke.

#include <set>

#include "net.h"

namespace review {

/// What a client has of one stream, over all its attempts.
struct Stream {
  std::string first_id_;  // of the attempt that brought the first event
  int last_event_ = -1;
  bool complete_ = false;
  std::set<std::string> versions_;  // of the software that made its events
  std::vector<int> statuses_;       // of the attempts
  std::string gap_;                 // what is wrong with the order of events
};

class Client {
 public:
  Client(Record& record, std::string name, std::string path, std::string model,
         Clock::time_point deadline)
      : record_(record),
        name_(std::move(name)),
        path_(std::move(path)),
        model_(std::move(model)),
        deadline_(deadline) {}

  /// Sends one attempt to `front` and reads until the stream ends, breaks or is
  /// reset by Break(). Returns the status; 0: no answer.
  auto Attempt(const Address& front) -> int {
    const auto id = name_ + "-" + std::to_string(++attempts_);
    const auto left =
        std::chrono::duration_cast<Ms>(deadline_ - Clock::now()).count();
    if (left <= 0) {
      return 0;
    }
    const int fd = Connect(front, 1000);
    if (fd < 0) {
      record_.Line("client " + id + " to " + front.Text() + ": no connection");
      stream_.statuses_.push_back(0);
      return 0;
    }
    std::string head =
        "POST " + path_ +
        " HTTP/1.1\r\nHost: x.example\r\n"
        "X-Baobabroad-Request-Id: " +
        id + "\r\nX-Baobabroad-Model: " + model_ +
        "\r\nX-Baobabroad-Token-Count: 400,300"
        "\r\nX-Baobabroad-Prompt-Prefix: 5c1e07a2:300," +
        std::to_string(std::hash<std::string>()(name_) % 100000) +
        ":100\r\nX-Baobabroad-Deadline-Ms: " + std::to_string(left) + "\r\n";
    if (!key_.empty()) {
      head += "Api-Key: " + key_ + "\r\n";
    }
    if (stream_.last_event_ >= 0) {
      head += "Last-Event-Id: " + std::to_string(stream_.last_event_) +
              "\r\nResumes: " + stream_.first_id_ + "\r\n";
    }
    SendAll(fd, head + "Content-Length: 5\r\n\r\nhello");
    Reader reader(fd);
    const auto answer = reader.Head(deadline_);
    const int status = answer ? answer->Status() : 0;
    retry_after_ =
        answer ? std::atof(answer->headers_.Get("Retry-After").c_str()) : 0;
    record_.Line("client " + id + " to " + front.Text() +
                 (stream_.last_event_ >= 0
                      ? " after event " + std::to_string(stream_.last_event_)
                      : "") +
                 ": " + std::to_string(status) + " " +
                 (answer && status != 200 ? answer->body_ : ""));
    stream_.statuses_.push_back(status);
    if (status == 200) {
      ReadEvents(reader, id);
    }
    if (broken_) {
      Reset(fd);
      record_.Line("client " + id + ": its connection is reset after event " +
                   std::to_string(stream_.last_event_));
    } else {
      close(fd);
    }
    return status;
  }

  auto SetKey(const std::string& key) -> void { key_ = key; }

  /// Lets the connection of the present attempt be reset.
  auto Break() -> void { broken_ = true; }
  auto Mend() -> void { broken_ = false; }

  [[nodiscard]] auto stream() const -> const Stream& { return stream_; }
  [[nodiscard]] auto retry_after() const -> double { return retry_after_; }
  [[nodiscard]] auto IsOver() const -> bool {
    return stream_.complete_ || Clock::now() >= deadline_;
  }

 private:
  auto ReadEvents(Reader& reader, const std::string& id) -> void {
    std::string text;
    int size = -1;  // of the chunk being read; -1: its size line is due
    while (!broken_ && Clock::now() < deadline_) {
      if (size < 0) {
        const auto line = reader.LineNow();
        if (!line) {
          if (!reader.More(std::min(deadline_, Clock::now() + Ms(20))) &&
              reader.ended()) {
            return;
          }
          continue;
        }
        size = static_cast<int>(std::strtol(line->c_str(), nullptr, 16));
        if (size == 0) {
          stream_.complete_ = true;
          return;
        }
      }
      const auto data = reader.BytesNow(static_cast<std::size_t>(size) + 2);
      if (!data) {
        if (!reader.More(std::min(deadline_, Clock::now() + Ms(20))) &&
            reader.ended()) {
          return;
        }
        continue;
      }
      text += data->substr(0, static_cast<std::size_t>(size));
      size = -1;
      for (auto end = text.find("\n\n"); end != std::string::npos;
           end = text.find("\n\n")) {
        OnEvent(text.substr(0, end), id);
        text.erase(0, end + 2);
      }
    }
  }

  auto OnEvent(const std::string& event, const std::string& id) -> void {
    const int number = std::atoi(event.c_str() + 4);
    if (number != stream_.last_event_ + 1) {
      stream_.gap_ = "event " + std::to_string(number) + " after " +
                     std::to_string(stream_.last_event_);
    }
    if (stream_.last_event_ < 0) {
      stream_.first_id_ = id;
    }
    stream_.last_event_ = number;
    stream_.versions_.insert(event.substr(event.rfind(' ') + 1));
  }

  Record& record_;
  std::string name_;
  std::string path_;
  std::string model_;
  std::string key_;
  Clock::time_point deadline_;
  Stream stream_;
  int attempts_ = 0;
  double retry_after_ = 0;
  std::atomic<bool> broken_ = false;
};

}  // namespace review
