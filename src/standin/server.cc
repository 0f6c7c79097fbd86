// Starts the parts on one thread and ends them.
#include <algorithm>
#include <exception>
#include <set>
#include <thread>

#include "src/standin/control.h"
#include "tarragondale/standin.h"

namespace tarragondale::standin {
namespace {

status CheckOptions(const server_options& options) {
  std::set<std::string> names = {"store", "vm_list", "control"};
  std::set<std::string> group_names;
  for (const group_options& group : options.groups) {
    if (group.name.empty() || !group_names.insert(group.name).second) {
      return failure{result_code::kInternal,
                     "group name is empty or not unique: " + group.name};
    }
    if (group.members.empty()) {
      return failure{result_code::kInternal,
                     "group has no members: " + group.name};
    }
    for (const member_options& item : group.members) {
      if (item.name.empty() || !names.insert(item.name).second) {
        return failure{
            result_code::kInternal,
            "member name is empty, reserved or not unique: " + item.name};
      }
    }
  }
  return std::nullopt;
}

}  // namespace

class server::implementation {
 public:
  explicit implementation(const server_options& options)
      : host_(options.host),
        control_(parts_),
        control_http_(loop_, options.host, [this](const http_request& request) {
          return control_.Handle(request);
        }) {}
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  ~implementation() {
    net::post(loop_.context(), [this] { loop_.Shutdown(); });
    if (thread_.joinable()) {
      thread_.join();
    } else {
      loop_.context().run();
    }
  }

  // Throws if a port can't be bound.
  void Open(const server_options& options) {
    control_http_.listener().Open(static_cast<uint16_t>(options.control_port));
    if (options.store_port >= 0) {
      parts_.store = std::make_unique<key_value_service>(loop_, host_);
      parts_.store->Open(static_cast<uint16_t>(options.store_port));
    }
    if (options.vm_list_port >= 0) {
      parts_.vms = std::make_unique<vm_list>(loop_, host_);
      parts_.vms->listener().Open(static_cast<uint16_t>(options.vm_list_port));
    }
    for (const group_options& group : options.groups) {
      parts_.groups.push_back(
          std::make_unique<database_group>(loop_, host_, group));
      parts_.groups.back()->Open(group);
    }
    thread_ = std::thread([this] { loop_.context().run(); });
  }

  uint16_t Port(std::string_view part) const {
    if (part == "control") {
      return control_port_;
    }
    const endpoint* const listener = parts_.FindListener(part);
    return listener == nullptr ? 0 : listener->port();
  }

  void RememberPort() { control_port_ = control_http_.listener().port(); }

  std::string Address(std::string_view part) const {
    return fmt::format("{}:{}", host_, Port(part));
  }

  control_answer Control(std::string_view method,
                         std::string_view path,
                         std::string_view body) {
    const http_request request{std::string(method), std::string(path),
                               std::string(body)};
    const http_answer answer =
        loop_.Call([&] { return control_.Handle(request); });
    return {answer.status, answer.body};
  }

 private:
  reactor loop_;
  const std::string host_;
  part_set parts_;
  control control_;
  http_service control_http_;
  uint16_t control_port_ = 0;
  std::thread thread_;
};

server::server(std::unique_ptr<implementation> parts)
    : parts_(std::move(parts)) {}

server::~server() = default;

result<std::unique_ptr<server>> server::Start(const server_options& options) {
  if (const status problem = CheckOptions(options)) {
    return *problem;
  }
  try {
    auto parts = std::make_unique<implementation>(options);
    parts->Open(options);
    parts->RememberPort();
    return std::unique_ptr<server>(new server(std::move(parts)));
  } catch (const std::exception& error) {
    return failure{result_code::kInternal, error.what()};
  } catch (const sql_error& error) {
    return failure{result_code::kInternal, error.message};
  }
}

uint16_t server::Port(std::string_view part) const {
  return parts_->Port(part);
}

std::string server::Address(std::string_view part) const {
  return parts_->Address(part);
}

control_answer server::Control(std::string_view method,
                               std::string_view path,
                               std::string_view body) {
  return parts_->Control(method, path, body);
}

}  // namespace tarragondale::standin
