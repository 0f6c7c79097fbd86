// Reads the platform's list of VMs over HTTP.
#include "src/runtime/vm_list_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <nlohmann/json.hpp>

namespace tarragondale::runtime {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr duration kCallLimit = seconds(2);
constexpr unsigned kHttpVersion = 11;

failure Unavailable(const beast::error_code& error) {
  return {result_code::kStoreUnavailable, error.message()};
}

}  // namespace

result<std::vector<wire::vm_record>> DecodeVmList(std::string_view body) {
  const auto list = nlohmann::json::parse(body, nullptr, false);
  if (!list.is_array()) {
    return failure{result_code::kMalformedJson,
                   "the list of VMs is not a JSON array"};
  }
  std::vector<wire::vm_record> vms;
  for (const auto& row : list) {
    wire::vm_record vm;
    const auto read = [&](const char* name, std::string& out) {
      const auto found = row.is_object() ? row.find(name) : row.end();
      if (!row.is_object() || found == row.end() || !found->is_string()) {
        return false;
      }
      out = found->get<std::string>();
      return true;
    };
    if (read("name", vm.name) && read("peer_address", vm.peer_address) &&
        read("http_address", vm.http_address) &&
        read("availability_zone", vm.availability_zone) &&
        read("region", vm.region)) {
      vms.push_back(std::move(vm));
    }
  }
  return vms;
}

vm_list_reader::vm_list_reader(std::string address,
                               std::string path,
                               duration interval,
                               handler on_list)
    : address_(std::move(address)),
      path_(std::move(path)),
      interval_(interval),
      on_list_(std::move(on_list)) {}

vm_list_reader::~vm_list_reader() {
  Stop();
}

void vm_list_reader::Start() {
  thread_ = std::thread([this] { Run(); });
}

void vm_list_reader::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void vm_list_reader::Run() {
  bool failed = false;
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    const auto body = Fetch();
    auto vms = body ? DecodeVmList(*body)
                    : result<std::vector<wire::vm_record>>(body.error());
    if (!vms && !failed) {
      Log(log_level::kWarning, log_part::kControl,
          "can't read the list of VMs: {}.", vms.error().reason);
    }
    failed = !vms;
    if (vms) {
      on_list_(std::move(*vms));
    }
    lock.lock();
    wake_.wait_for(lock, interval_, [this] { return stopping_; });
  }
}

result<std::string> vm_list_reader::Fetch() const {
  const size_t colon = address_.rfind(':');
  beast::error_code error;
  const auto ip = asio::ip::make_address(address_.substr(0, colon), error);
  if (error || colon == std::string::npos) {
    return failure{result_code::kSettingInvalid, "bad address " + address_};
  }
  const auto port =
      static_cast<uint16_t>(std::stoi(address_.substr(colon + 1)));
  asio::io_context context;
  beast::tcp_stream stream(context);
  http::request<http::empty_body> request(http::verb::get, path_, kHttpVersion);
  request.set(http::field::host, address_);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  error = asio::error::timed_out;
  // A chain of asynchronous calls, because only these take a time limit.
  stream.expires_after(kCallLimit);
  stream.async_connect({ip, port}, [&](const beast::error_code& connected) {
    error = connected;
    if (connected) {
      return;
    }
    http::async_write(
        stream, request, [&](const beast::error_code& written, size_t) {
          error = written;
          if (!written) {
            http::async_read(
                stream, buffer, response,
                [&](const beast::error_code& read, size_t) { error = read; });
          }
        });
  });
  context.run();
  if (error) {
    return Unavailable(error);
  }
  if (response.result() != http::status::ok) {
    return failure{result_code::kStoreUnavailable,
                   "the service answers with status " +
                       std::to_string(response.result_int())};
  }
  return std::move(response.body());
}

}  // namespace tarragondale::runtime
