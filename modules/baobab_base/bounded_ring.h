#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace baobab {

/// A bounded ring between one producer thread and one consumer thread.
///
/// The producer calls Push; when the consumer is not already woken, Push calls
/// the wake function, which must arrange for Drain to run on the consumer
/// thread (for example `asio::post(io_context, ...)`). At most one wake-up is
/// pending at any time, so the consumer's own queue stays bounded too.
template <class T>
class BoundedRing {
 public:
  /// `capacity` is the number of elements; `wake` schedules Drain on the
  /// consumer thread and is called from the producer thread.
  BoundedRing(std::size_t capacity, std::function<void()> wake)
      : queue_(capacity), wake_(std::move(wake)) {}

  BoundedRing(const BoundedRing&) = delete;
  auto operator=(const BoundedRing&) -> BoundedRing& = delete;

  /// Adds `value`. Returns false, and leaves `value` as it was, if the ring is
  /// full. Producer thread only.
  [[nodiscard]] auto Push(T&& value) -> bool {
    if (queue_.write_available() == 0) {
      return false;
    }
    queue_.push(std::move(value));
    if (!wake_pending_.exchange(true, std::memory_order_acq_rel)) {
      wake_();
    }
    return true;
  }

  /// Passes each waiting element to `consume`. Consumer thread only.
  template <class Consume>
  auto Drain(Consume&& consume) -> std::size_t {
    // Cleared before reading, so that a Push during the loop wakes again.
    wake_pending_.exchange(false, std::memory_order_acq_rel);
    std::size_t taken = 0;
    T value;
    while (queue_.pop(value)) {
      consume(std::move(value));
      ++taken;
    }
    return taken;
  }

  /// Number of free places, as the producer sees it.
  [[nodiscard]] auto free_places() const -> std::size_t {
    return queue_.write_available();
  }

 private:
  boost::lockfree::spsc_queue<T> queue_;
  std::function<void()> wake_;
  std::atomic<bool> wake_pending_{false};
};

}  // namespace baobab
