// Reads the platform's list of VMs over HTTP.
#include "src/runtime/vm_list_reader.h"

#include <nlohmann/json.hpp>

#include "tarragondale/store.h"

namespace tarragondale::runtime {
namespace {

constexpr milliseconds kCallLimit{2000};
constexpr unsigned kHttpOk = 200;

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
  auto reply = store::CallHttp(address_, "GET", path_, "", "", kCallLimit);
  if (!reply) {
    return reply.error();
  }
  if (reply->status != kHttpOk) {
    return failure{
        result_code::kStoreUnavailable,
        "the service answers with status " + std::to_string(reply->status)};
  }
  return std::move(reply->body);
}

}  // namespace tarragondale::runtime
