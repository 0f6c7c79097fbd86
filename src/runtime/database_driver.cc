// The driver's thread: takes commands from the ring and runs the connections.
#include "src/runtime/database_driver.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/runtime/database_connection.h"
#include "tarragondale/base/ring.h"

namespace tarragondale::runtime {

class database_driver::implementation {
 public:
  explicit implementation(database_driver_options options)
      : options_(std::move(options)),
        work_(boost::asio::make_work_guard(io_)),
        commands_(options_.ring_capacity, [this] { Wake(); }) {}

  ~implementation() { Stop(); }

  client_id AddClient(callback on_event) {
    clients_.push_back({std::move(on_event), {}});
    return clients_.size() - 1;
  }

  void Start() {
    thread_ = std::thread([this] { io_.run(); });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    boost::asio::post(io_, [this] {
      stopping_ = true;
      for (client& owner : clients_) {
        for (auto& [id, connection] : owner.connections) {
          connection->Close();
        }
        owner.connections.clear();
      }
      work_.reset();
    });
    thread_.join();
  }

  bool Submit(client_id client, database::command command) {
    return commands_.TryPush({client, std::move(command)});
  }

 private:
  struct item {
    client_id client = 0;
    database::command command;
  };

  struct client {
    callback on_event;
    std::unordered_map<database::connection_id,
                       std::shared_ptr<database_connection>>
        connections;
  };

  // One posted call serves all commands that arrive before it runs.
  void Wake() {
    if (!woken_.exchange(true)) {
      boost::asio::post(io_, [this] { Drain(); });
    }
  }

  void Drain() {
    woken_ = false;
    while (std::optional<item> next = commands_.TryPop()) {
      if (!stopping_) {
        client& owner = clients_[next->client];
        std::visit([this, &owner](auto& command) { Handle(owner, command); },
                   next->command);
      }
    }
  }

  void Handle(client& owner, const database::open_connection& command) {
    const database::connection_id id = command.connection;
    auto connection = std::make_shared<database_connection>(
        io_, id, [&owner, id](database::driver_event event) {
          if (std::holds_alternative<database::connection_lost>(event)) {
            owner.connections.erase(id);
          }
          owner.on_event(std::move(event));
        });
    owner.connections[id] = connection;
    connection->Open(command.address, command.database, options_.user);
  }

  void Handle(client& owner, database::send_query& command) {
    const auto found = owner.connections.find(command.connection);
    if (found != owner.connections.end()) {
      const auto connection = found->second;  // A loss erases the entry.
      connection->Send(std::move(command));
    }
  }

  void Handle(client& owner, const database::close_connection& command) {
    const auto found = owner.connections.find(command.connection);
    if (found != owner.connections.end()) {
      found->second->Close();
      owner.connections.erase(found);
    }
  }

  database_driver_options options_;
  std::vector<client> clients_;  // Before `io_`: handlers refer to them.
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  ring<item> commands_;
  std::atomic<bool> woken_{false};
  bool stopping_ = false;  // Only on the thread.
  std::thread thread_;
};

database_driver::database_driver(database_driver_options options)
    : implementation_(std::make_unique<implementation>(std::move(options))) {}

database_driver::~database_driver() = default;

database_driver::client_id database_driver::AddClient(callback on_event) {
  return implementation_->AddClient(std::move(on_event));
}

void database_driver::Start() {
  implementation_->Start();
}

void database_driver::Stop() {
  implementation_->Stop();
}

bool database_driver::Submit(client_id client, database::command command) {
  return implementation_->Submit(client, std::move(command));
}

}  // namespace tarragondale::runtime
