// HTTP server for tests of the store client: each request is answered by a
// function of the test.
#ifndef TARRAGONDALE_SRC_STORE_SCRIPTED_SERVER_H_
#define TARRAGONDALE_SRC_STORE_SCRIPTED_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include "tarragondale/base.h"

namespace tarragondale::store {

class scripted_server {
 public:
  using socket = boost::asio::ip::tcp::socket;

  /// @brief What a script may do with the connection.
  class peer {
   public:
    explicit peer(socket& connection) : socket_(connection) {}

    void Answer(const std::string& body, int status = 200) {
      Raw(fmt::format("HTTP/1.1 {} x\r\nContent-Length: {}\r\n\r\n{}", status,
                      body.size(), body));
    }
    void StartStream() {
      Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    void Chunk(const std::string& text) {
      Raw(fmt::format("{:x}\r\n{}\r\n", text.size(), text));
    }
    void Raw(const std::string& bytes) {
      boost::system::error_code ignored;
      boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }
    /// @brief Never answers: returns when the client or the test gives up.
    void Hang() {
      boost::system::error_code error;
      char byte = 0;
      while (!error) {
        socket_.read_some(boost::asio::buffer(&byte, 1), error);
      }
    }

   private:
    socket& socket_;
  };

  /// @brief False closes the connection.
  using script = std::function<
      bool(const std::string& path, const std::string& body, peer& client)>;

  explicit scripted_server(script run)
      : run_(std::move(run)),
        acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        address_(
            fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port())),
        thread_([this] { Accept(); }) {}

  ~scripted_server() {
    // Shutting a socket down wakes the thread that waits in it.
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    {
      const std::lock_guard lock(mutex_);
      for (session& each : sessions_) {
        ::shutdown(each.connection.native_handle(), SHUT_RDWR);
      }
    }
    for (session& each : sessions_) {
      each.thread.join();
    }
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  const std::string& address() const { return address_; }

 private:
  struct session {
    explicit session(socket accepted) : connection(std::move(accepted)) {}
    socket connection;
    std::thread thread;
  };

  void Accept() {
    while (true) {
      boost::system::error_code error;
      socket accepted(context_);
      acceptor_.accept(accepted, error);
      if (error) {
        return;
      }
      const std::lock_guard lock(mutex_);
      session& added = sessions_.emplace_back(std::move(accepted));
      added.thread = std::thread([this, &added] { Serve(added.connection); });
    }
  }

  void Serve(socket& connection) {
    boost::beast::flat_buffer buffer;
    while (true) {
      boost::system::error_code error;
      boost::beast::http::request<boost::beast::http::string_body> request;
      boost::beast::http::read(connection, buffer, request, error);
      peer client(connection);
      if (error ||
          !run_(std::string(request.target()), request.body(), client)) {
        // The descriptor stays open until the server ends, so that the
        // destructor never shuts down a number that was given out again.
        ::shutdown(connection.native_handle(), SHUT_RDWR);
        return;
      }
    }
  }

  const script run_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  std::mutex mutex_;
  std::list<session> sessions_;
  std::thread thread_;
};

}  // namespace tarragondale::store

#endif  // TARRAGONDALE_SRC_STORE_SCRIPTED_SERVER_H_
