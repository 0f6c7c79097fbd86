// Memory for each open caller connection of the HTTP front end.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

#include "src/capacity/roles.h"
#include "src/runtime/http_server.h"

namespace tarragondale::capacity {
namespace {

constexpr int kConnections = 2'000;
constexpr char kBody[] =
    R"({"route": "orders", "kind": "read", "statements": [)"
    R"({"sql": "SELECT item FROM orders WHERE id = $1", "params": ["o-17"]}]})";

// Client side of loopback connections; only descriptors, no buffers.
class client_set {
 public:
  client_set() = default;
  client_set(const client_set&) = delete;
  client_set& operator=(const client_set&) = delete;
  ~client_set() {
    for (const int socket : sockets_) {
      close(socket);
    }
  }

  bool Connect(uint16_t port) {
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (made < 0) {
      return false;
    }
    sockets_.push_back(made);
    return connect(made, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0;
  }

  // Sends one request on each connection and reads its answer.
  int ExchangeAll() const {
    const std::string request = fmt::format(
        "POST /v1/execute HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k.s\r\n"
        "Content-Length: {}\r\n\r\n{}",
        sizeof(kBody) - 1, kBody);
    int answered = 0;
    std::array<char, 4'096> buffer{};
    for (const int socket : sockets_) {
      if (write(socket, request.data(), request.size()) > 0 &&
          read(socket, buffer.data(), buffer.size()) > 0) {
        ++answered;
      }
    }
    return answered;
  }

 private:
  std::vector<int> sockets_;
};

void AddGrowth(const std::string& name,
               int64_t resident,
               int64_t live,
               const std::string& conditions,
               figure_list& figures) {
  const auto each = [](int64_t before, int64_t after) {
    return static_cast<double>(after - before) / kConnections;
  };
  figures.Add("connections." + name + "_resident",
              each(resident, ResidentBytes()), "bytes", conditions);
  figures.Add("connections." + name + "_state", each(live, LiveBytes()),
              "bytes", conditions);
}

}  // namespace

void MeasureConnections(figure_list& figures) {
  runtime::http_server* answering = nullptr;
  runtime::http_handlers handlers;
  handlers.submit = [&answering](const entry::caller_request& request) {
    entry::answer_caller answer;
    answer.exchange = request.exchange;
    answer.results = {{{{"item", 25}}, {{"disc"}}, 1}};
    answering->Answer(std::move(answer));
    return true;
  };
  handlers.caller_gone = [](uint64_t /*connection*/) {};
  handlers.is_ready = [] { return true; };
  handlers.metrics = [] { return std::string(); };
  handlers.status = [] { return std::string(); };
  handlers.drain = [] {};
  handlers.answered = [](result_code /*code*/, duration /*span*/) {};
  handlers.switchover = [](const runtime::switchover_request& /*request*/) {
    return false;
  };
  runtime::http_options options;
  options.address = "127.0.0.1:0";
  runtime::http_server server(options, std::move(handlers));
  answering = &server;
  if (server.Start()) {
    fmt::print(stderr, "capacity: the front end does not start\n");
    return;
  }
  const int64_t resident = ResidentBytes();
  const int64_t live = LiveBytes();
  client_set clients;
  int connected = 0;
  for (int i = 0; i < kConnections; ++i) {
    connected += clients.Connect(server.port()) ? 1 : 0;
  }
  while (server.metrics().connections < static_cast<uint64_t>(connected)) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  AddGrowth("accepted", resident, live,
            fmt::format("{} open, no request yet, kernel memory not included",
                        connected),
            figures);
  const int answered = clients.ExchangeAll();
  AddGrowth("idle", resident, live,
            fmt::format("{} open and idle after one request each, {} "
                        "answered, kernel memory not included",
                        connected, answered),
            figures);
  server.Stop();
}

}  // namespace tarragondale::capacity
