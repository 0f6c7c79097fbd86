// Output, VMs and waiting of tarragondalectl.
#include "src/ctl/session.h"

#include <fmt/format.h>

#include <set>
#include <thread>

#include "src/ctl/files.h"
#include "tarragondale/config.h"

namespace tarragondale::ctl {
namespace {

using nlohmann::json;

constexpr milliseconds kPollInterval{200};
constexpr unsigned kHttpOk = 200;

std::string FirstLine(const std::string& text) {
  return text.substr(0, text.find_first_of("\r\n"));
}

// The failure in a VM's answer; VMs answer with the fields of
// docs/result-codes.md.
failure FailureOf(const std::string& address, const store::http_reply& reply) {
  const json body = json::parse(reply.body, nullptr, false);
  if (body.is_object() && body.contains("code") &&
      body["code"].is_number_integer()) {
    const auto code = ResultCodeFromNumber(body["code"].get<int>());
    const json reason = body.value("reason", json(""));
    if (code) {
      return {*code, fmt::format("{}: {}", address,
                                 reason.is_string() ? reason.get<std::string>()
                                                    : reason.dump())};
    }
  }
  return {result_code::kInvalidField,
          fmt::format("{}: status {}", address, reply.status)};
}

}  // namespace

session::session(const arguments& given, std::ostream& out, std::ostream& err)
    : given_(given),
      out_(out),
      err_(err),
      client_({given.store, given.call_limit}),
      rows_(client_, [] { std::this_thread::sleep_for(kPollInterval); }) {}

void session::Print(const std::string& text, const json& value) {
  if (given_.json) {
    out_ << value.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
  } else if (!text.empty()) {
    out_ << text << "\n";
  }
}

void session::Warn(const std::string& text) {
  err_ << "warning: " << text << "\n";
}

exit_code session::Fail(const failure& cause) {
  const result_code_info& info = InfoOf(cause.code);
  if (given_.json) {
    const json value = {{"outcome", OutcomeName(info.result)},
                        {"code", static_cast<int>(info.code)},
                        {"name", info.name},
                        {"reason", cause.reason}};
    err_ << value.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
  } else {
    err_ << fmt::format("{} {}: {}\n", static_cast<int>(info.code), info.name,
                        cause.reason);
  }
  return ExitCodeOf(cause);
}

exit_code session::Fail(const std::vector<failure>& causes) {
  for (const failure& each : causes) {
    Fail(each);
  }
  return ExitCodeOf(causes.front());
}

result<std::vector<listed_vm>> session::Vms() {
  if (given_.vm_list.empty()) {
    std::vector<listed_vm> vms;
    for (const std::string& address : given_.vms) {
      vms.push_back({"", address, false});
    }
    return vms;
  }
  const auto url = config::ParseHttpUrl(given_.vm_list);
  const auto reply = store::CallHttp(url->address, "GET", url->path, "", "",
                                     given_.call_limit);
  if (!reply || reply->status != kHttpOk) {
    return failure{result_code::kGatewayUnreachable,
                   fmt::format("list of VMs: {}",
                               reply ? fmt::format("status {}", reply->status)
                                     : reply.error().reason)};
  }
  return DecodeVmList(reply->body);
}

result<std::string> session::CallVm(const std::string& address,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body) {
  const auto key = ReadFile(given_.operator_key_file);
  if (!key) {
    return key.error();
  }
  const auto reply = store::CallHttp(address, method, path, FirstLine(*key),
                                     body, given_.call_limit);
  if (!reply) {
    return reply.error();
  }
  if (reply->status != kHttpOk) {
    return FailureOf(address, *reply);
  }
  return reply->body;
}

exit_code session::WaitInForce(int64_t version) {
  const time_point end = std::chrono::steady_clock::now() + given_.wait_limit;
  std::set<std::string> confirmed;
  while (true) {
    const auto vms = Vms();
    std::vector<std::string> missing;
    size_t live = 0;
    for (const listed_vm& vm : vms ? *vms : std::vector<listed_vm>()) {
      bool counts = !vm.leaving;
      if (!confirmed.contains(vm.http_address)) {
        const auto body =
            CallVm(vm.http_address, "GET", "/v1/admin/status", "");
        const auto status = body ? DecodeStatus(*body) : body.error();
        counts = counts || bool(status);
        if (status && status->configuration_version >= version) {
          confirmed.insert(vm.http_address);
        } else if (counts) {
          missing.push_back(status
                                ? fmt::format("{} has version {}", status->name,
                                              status->configuration_version)
                                : status.error().reason);
        }
      }
      live += counts || confirmed.contains(vm.http_address) ? 1 : 0;
    }
    const bool done = vms && live > 0 && missing.empty();
    if (done || std::chrono::steady_clock::now() >= end) {
      const size_t holders = live - missing.size();
      Print(fmt::format("in force on {} of {}", holders, live),
            {{"in_force_on", holders}, {"vms", live}, {"missing", missing}});
      if (!vms) {
        Fail(vms.error());
      }
      for (const std::string& each : missing) {
        Warn(each);
      }
      return done ? exit_code::kDone : exit_code::kNotEverywhere;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace tarragondale::ctl
