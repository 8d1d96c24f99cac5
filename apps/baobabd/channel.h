#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

#include "baobab_base/bounded_ring.h"

namespace baobab {

/// A BoundedRing from one duty thread to another with a waiting line on the
/// producer's side, for messages that must not be lost. The producer sees
/// through congested() that it must take in no more work.
template <class T>
class Channel {
 public:
  Channel(boost::asio::io_context& producer, boost::asio::io_context& consumer,
          std::size_t capacity)
      : reserve_(capacity / 4),
        consumer_(consumer),
        retry_(producer),
        ring_(capacity, [this] { Wake(); }) {}

  /// Sets the consumer, before its thread starts.
  auto OnMessage(std::function<void(T&&)> consume) -> void {
    consume_ = std::move(consume);
  }

  /// Sets a function that is called on the producer thread when the channel
  /// becomes congested (true) or clear again (false).
  auto OnCongestion(std::function<void(bool)> notify) -> void {
    notify_ = std::move(notify);
  }

  /// Adds `message` if a quarter of the ring is free, so that new work leaves
  /// room for messages about work in progress. Producer thread only.
  [[nodiscard]] auto TrySend(T&& message) -> bool {
    return waiting_.empty() && ring_.free_places() > reserve_ &&
           ring_.Push(std::move(message));
  }

  /// Adds `message`; it waits on the producer's side if the ring is full.
  /// Producer thread only.
  auto Send(T message) -> void {
    if (waiting_.empty() && ring_.Push(std::move(message))) {
      return;
    }
    // A full ring leaves the message as it was.
    waiting_.push_back(std::move(message));  // NOLINT(bugprone-use-after-move)
    if (waiting_.size() == 1) {
      if (notify_) {
        notify_(true);
      }
      RetryLater();
    }
  }

  /// True while messages wait on the producer's side. Producer thread only.
  [[nodiscard]] auto congested() const -> bool { return !waiting_.empty(); }

  /// Takes messages in only while `open` returns true; call Resume when it
  /// does again. Set before the threads start.
  auto OnlyWhile(std::function<bool()> open) -> void {
    open_ = std::move(open);
  }

  /// Takes in what has arrived. Consumer thread only.
  auto Resume() -> void {
    if (!open_ || open_()) {
      ring_.Drain([this](T&& message) { consume_(std::move(message)); });
    }
  }

 private:
  // A full ring empties within the time the consumer needs for its messages.
  static constexpr auto kRetry = std::chrono::milliseconds(1);

  auto Wake() -> void {
    boost::asio::post(consumer_, [this] { Resume(); });
  }

  auto RetryLater() -> void {
    retry_.expires_after(kRetry);
    retry_.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      while (!waiting_.empty() && ring_.Push(std::move(waiting_.front()))) {
        waiting_.pop_front();
      }
      if (!waiting_.empty()) {
        RetryLater();
      } else if (notify_) {
        notify_(false);
      }
    });
  }

  std::size_t reserve_;
  boost::asio::io_context& consumer_;
  boost::asio::steady_timer retry_;
  std::deque<T> waiting_;
  std::function<void(T&&)> consume_;
  std::function<void(bool)> notify_;
  std::function<bool()> open_;
  BoundedRing<T> ring_;
};

}  // namespace baobab
