#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <utility>

#include "baobab_targets/target_endpoint.h"

namespace baobab {

/// A test server on a free loopback port that passes what it reads to a script.
class ScriptedPeer {
 public:
  using Tcp = boost::asio::ip::tcp;
  struct Connection {
    Tcp::socket socket_;
    std::string received_;
    int requests_ = 0;   // for scripts that count them
    bool reads_ = true;  // cleared by a script that leaves further bytes unread
    std::array<char, 65536> buffer_{};
  };
  /// Called after each read with the connection, whose received_ has grown.
  using Script = std::function<void(Connection&)>;

  ScriptedPeer(boost::asio::io_context& io, Script script)
      : acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        script_(std::move(script)) {
    Accept();
  }

  [[nodiscard]] auto endpoint() const -> TargetEndpoint {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  [[nodiscard]] auto accepted() const -> std::size_t {
    return connections_.size();
  }
  auto connection(std::size_t index) -> Connection& {
    return *std::next(connections_.begin(), static_cast<std::ptrdiff_t>(index));
  }
  auto Close() -> void { acceptor_.close(); }

 private:
  auto Accept() -> void {
    acceptor_.async_accept(
        [this](boost::system::error_code error, Tcp::socket socket) {
          if (!error) {
            connections_.push_back({std::move(socket), {}, 0, true, {}});
            Read(connections_.back());
            Accept();
          }
        });
  }
  auto Read(Connection& connection) -> void {
    connection.socket_.async_read_some(
        boost::asio::buffer(connection.buffer_),
        [this, &connection](boost::system::error_code error, std::size_t size) {
          if (error) {
            return;
          }
          connection.received_.append(connection.buffer_.data(), size);
          script_(connection);
          if (connection.socket_.is_open() && connection.reads_) {
            Read(connection);
          }
        });
  }

  Tcp::acceptor acceptor_;
  Script script_;
  std::list<Connection> connections_;
};

}  // namespace baobab
