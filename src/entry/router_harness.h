// Test harness of the request router: virtual time, one database group and the
// reports of its gateways. Tests answer the requests themselves.
#ifndef TARRAGONDALE_SRC_ENTRY_ROUTER_HARNESS_H_
#define TARRAGONDALE_SRC_ENTRY_ROUTER_HARNESS_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "tarragondale/entry.h"

namespace tarragondale::entry {

inline constexpr char kSecret[] = "secret";

inline config::key_record Key(const std::string& id,
                              const std::string& organisation) {
  const std::string salt = "salt";
  return {.id = id,
          .organisation = organisation,
          .salt = HexEncode(salt),
          .digest = HexEncode(Sha256(salt + kSecret)),
          .version = 1};
}

/// @brief Keyed route `orders`, open route `public`, one group of three
/// members, keys `k1` (north) and `k2` (south).
inline config::configuration TestConfiguration() {
  config::configuration c;
  c.version = 1;
  config::route_row& orders = c.routes["orders"];
  orders.name = "orders";
  orders.pool = "pool";
  orders.allows_writes = true;
  orders.organisations = {{"north", {1000, 1000}}, {"south", {1000, 1000}}};
  config::route_row& open = c.routes["public"];
  open.name = "public";
  open.pool = "pool";
  open.open = true;
  config::pool_row& pool = c.pools["pool"];
  pool.name = "pool";
  pool.group = "g";
  pool.members = {{"m1", "", "a", "r", false},
                  {"m2", "", "a", "r", false},
                  {"m3", "", "b", "r", false}};
  c.keys["k1"] = Key("k1", "north");
  c.keys["k2"] = Key("k2", "south");
  return c;
}

inline entry_options TestOptions() {
  entry_options options;
  options.token_key = std::string(32, 'k');
  options.origin = 7;
  options.availability_zone = "a";
  options.region = "r";
  return options;
}

/// @brief VMs `vm-1` to `vm-<vms>` in zone `a`.
inline fleet::fleet_view ViewOf(int vms, const std::string& self) {
  fleet::fleet_view view;
  view.self = self;
  for (int i = 1; i <= vms; ++i) {
    wire::vm_record vm;
    vm.name = "vm-" + std::to_string(i);
    vm.availability_zone = "a";
    vm.region = "r";
    vm.state = wire::vm_state::kAlive;
    view.vms.push_back(vm);
  }
  return view;
}

class harness {
 public:
  explicit harness(const entry_options& options = TestOptions(), int vms = 3)
      : router(options) {
    for (const char* member : {"m1", "m2", "m3"}) {
      reports[member] = {.member = member,
                         .reachable = true,
                         .role = wire::member_role::kReplica,
                         .term = 1,
                         .last_term = 1,
                         .position = 10,
                         .age_ms = 5,
                         .service_time_us = 1000};
    }
    MakePrimary("m1", 1);
    SetFleet(vms);
    Apply(TestConfiguration());
    Step(currency_changed{true});
    Advance(10'000);  // Buckets start empty.
  }

  void SetFleet(int vms) {
    auto next = std::make_shared<fleet::fleet_view>(ViewOf(vms, "vm-1"));
    SetFleet(next);
  }
  void SetFleet(fleet::fleet_view_ptr next) {
    view = std::move(next);
    Step(fleet_changed{view});
  }
  void Apply(const config::configuration& next) {
    configuration = std::make_shared<const config::configuration>(next);
    Step(configuration_changed{configuration});
  }
  void MakePrimary(const std::string& member, int64_t term) {
    for (auto& [name, report] : reports) {
      report.role = name == member ? wire::member_role::kPrimary
                                   : wire::member_role::kReplica;
      report.term = report.promised_term = term;
      report.age_ms = name == member ? 0 : 5;
    }
  }

  void Step(const event& input) {
    for (action& one : router.Step(now, input)) {
      if (auto* answer = std::get_if<answer_caller>(&one)) {
        answers.push_back(*answer);
      } else if (auto* request = std::get_if<send_request>(&one)) {
        sent.push_back(*request);
      } else if (auto* cancel = std::get_if<send_cancel>(&one)) {
        cancels.push_back(*cancel);
      } else if (auto* interest = std::get_if<send_interest>(&one)) {
        interests.push_back(*interest);
      } else {
        ++drained_count;
      }
    }
  }

  void Report() {
    for (const auto& member : configuration->pools.at("pool").members) {
      const auto vm =
          fleet::PlaceRole(*view, fleet::GatewayRole("g", member.name),
                           {member.availability_zone, member.region});
      Step(report_arrived{vm.value_or(""), {"g", {reports[member.name]}}});
    }
  }

  /// Lets time pass: ticks when they are due, reports each 100 ms.
  void Advance(int64_t ms) {
    const time_point end = now + milliseconds(ms);
    while (true) {
      const auto due = router.NextDeadline();
      const time_point next =
          std::min({end, due.value_or(end), reporting ? next_report : end});
      now = std::max(now, next);
      if (reporting && now >= next_report) {
        next_report = now + milliseconds(100);
        Report();
      }
      if (due && *due <= now) {
        Step(tick{});
      }
      if (now >= end) {
        return;
      }
    }
  }

  caller_request Request(wire::request_kind kind) {
    caller_request request;
    request.connection = 1;
    request.exchange = ++last_exchange;
    request.route = "orders";
    request.kind = kind;
    request.statements = {{"SELECT 1", {}}};
    request.bearer = std::string("k1.") + kSecret;
    return request;
  }
  caller_request Read() { return Request(wire::request_kind::kRead); }
  caller_request Write(const std::string& key = "") {
    caller_request request = Request(wire::request_kind::kWrite);
    request.idempotency_key = key;
    return request;
  }
  caller_request Begin(wire::request_kind kind) {
    caller_request request = Request(kind);
    request.step = wire::transaction_step::kBegin;
    request.statements.clear();
    return request;
  }
  caller_request TransactionStep(wire::transaction_step step,
                                 const std::string& transaction) {
    caller_request request = Read();
    request.step = step;
    request.route.clear();
    request.transaction = transaction;
    if (step != wire::transaction_step::kContinue) {
      request.statements.clear();
    }
    return request;
  }

  wire::execute_answer Answer(const send_request& to,
                              result_code code = result_code::kOk) const {
    wire::execute_answer answer;
    answer.id = to.request.id;
    answer.code = code;
    answer.from_primary =
        reports.at(to.request.member).role == wire::member_role::kPrimary;
    answer.position = {1, 10};
    return answer;
  }
  void Reply(const send_request& to, result_code code = result_code::kOk) {
    Step(answer_arrived{to.vm, Answer(to, code)});
  }
  /// Begins a transaction and returns its id text.
  std::string Begun(wire::request_kind kind = wire::request_kind::kWrite) {
    Step(Begin(kind));
    const send_request begin = sent.back();
    Reply(begin);
    return answers.back().transaction;
  }
  /// Code of the last answer; `internal`, which no test expects, if there is
  /// none.
  result_code LastCode() const {
    return answers.empty() ? result_code::kInternal : answers.back().code;
  }

  request_router router;
  time_point now = TimeFromMs(1'000'000);
  time_point next_report = now;
  bool reporting = true;
  uint64_t last_exchange = 0;
  fleet::fleet_view_ptr view;
  config::configuration_ptr configuration;
  std::map<std::string, wire::member_report> reports;
  std::vector<answer_caller> answers;
  std::vector<send_request> sent;
  std::vector<send_cancel> cancels;
  std::vector<send_interest> interests;
  int drained_count = 0;
};

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_ROUTER_HARNESS_H_
