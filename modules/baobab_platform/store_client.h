#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_platform/store_types.h"

// Asio stays out of this header.
namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace baobab::platform {

/// How to reach the configuration service.
struct StoreClientSettings {
  /// Addresses, "host:port" with an IP address. A call goes to the address that
  /// worked last; a failed one moves on to the next.
  std::vector<std::string> addresses_;
  Duration connect_timeout_ = std::chrono::seconds(1);
  /// From the end of a request to its answer.
  Duration answer_timeout_ = std::chrono::seconds(2);
  Duration first_backoff_ = std::chrono::milliseconds(100);
  Duration longest_backoff_ = std::chrono::seconds(5);
  /// A watch without any message for this long is opened again, since its
  /// connection may have gone silent.
  Duration watch_silence_ = std::chrono::seconds(60);
  std::uint64_t seed_ = 0;  ///< Of the jitter between attempts of a watch.
};

/// Calls made so far, failed ones included. A watch counts once each time it
/// is opened.
struct StoreCallCounts {
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t leases_ = 0;
  std::uint64_t watches_ = 0;
};

/// What a watch tells its user.
struct WatchEvents {
  /// Changes in order of revision, none twice.
  std::function<void(const std::vector<WatchEvent>&)> on_changes_;
  /// Events were lost: the service has discarded the history up to this
  /// revision. The watch has ended; read the prefix and watch from there.
  std::function<void(Revision)> on_compacted_;
  /// The watch was opened (true) or lost (false); it is opened again by itself.
  std::function<void(bool)> on_connected_;
};

/// A running watch; it ends when this handle is destroyed.
class WatchHandle {
 public:
  WatchHandle() = default;
  /// Takes the function that ends the watch.
  explicit WatchHandle(std::function<void()> stop)
      : stop_(std::make_shared<Guard>(std::move(stop))) {}

  /// Ends the watch.
  auto Stop() -> void { stop_.reset(); }

 private:
  struct Guard {
    explicit Guard(std::function<void()> stop) : stop_(std::move(stop)) {}
    ~Guard() { stop_(); }
    Guard(const Guard&) = delete;
    auto operator=(const Guard&) -> Guard& = delete;
    std::function<void()> stop_;
  };
  std::shared_ptr<Guard> stop_;
};

/// Asynchronous client of the configuration service. All methods must be
/// called on the thread of the io_context, and results arrive there, never from
/// within the call. No call is repeated by the client, except that a watch
/// opens its connection again.
class StoreClient {
 public:
  using OnRead = std::function<void(ReadResult)>;
  using OnWrite = std::function<void(WriteResult)>;
  using OnLease = std::function<void(LeaseResult)>;

  /// Throws StepError if an address cannot be parsed or none is given.
  StoreClient(boost::asio::io_context& context,
              const StoreClientSettings& settings);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  auto operator=(const StoreClient&) -> StoreClient& = delete;

  /// Reads one key; values_ is empty if it does not exist.
  auto Read(const std::string& key, OnRead on_read) -> void;

  /// Reads all keys that begin with `prefix`.
  auto ReadPrefix(const std::string& prefix, OnRead on_read) -> void;

  /// Writes `value` if the key's modification revision is `expected` (zero:
  /// the key does not exist). `lease` zero: none.
  auto CompareAndSwap(const std::string& key, Revision expected,
                      const std::string& value, std::int64_t lease,
                      OnWrite on_write) -> void;

  /// Writes `value` if the key has the revision `expected` and each of `guards`
  /// has its own, all in one transaction.
  auto GuardedSwap(const std::string& key, Revision expected,
                   const std::string& value,
                   const std::vector<KeyRevision>& guards, OnWrite on_write)
      -> void;

  /// Writes `value` if the key does not exist.
  auto CreateIfAbsent(const std::string& key, const std::string& value,
                      std::int64_t lease, OnWrite on_write) -> void {
    CompareAndSwap(key, 0, value, lease, std::move(on_write));
  }

  /// Deletes the key if its modification revision is `expected`.
  auto CompareAndDelete(const std::string& key, Revision expected,
                        OnWrite on_write) -> void;

  /// Creates a lease. Its holder must count `ttl` from before this call.
  auto GrantLease(std::chrono::seconds ttl, OnLease on_lease) -> void;

  /// Extends a lease; the result has ttl_ zero if it does not exist any more.
  auto KeepLeaseAlive(std::int64_t id, OnLease on_lease) -> void;

  /// Ends a lease and deletes its keys.
  auto RevokeLease(std::int64_t id, OnLease on_lease) -> void;

  /// Watches all keys that begin with `prefix` for changes with revisions from
  /// `from` on, across lost connections and outages.
  [[nodiscard]] auto Watch(const std::string& prefix, Revision from,
                           WatchEvents events) -> WatchHandle;

  /// Calls made so far.
  [[nodiscard]] auto counts() const -> const StoreCallCounts&;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace baobab::platform
