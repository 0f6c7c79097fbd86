// Measures one decision of the request router: admission and routing of a
// request, with and without its answer. Goal: below 2 us on one core.
#include <benchmark/benchmark.h>

#include "src/entry/router_harness.h"
#include "tarragondale/session.h"

namespace tarragondale::entry {
namespace {

// Router with a limit that no benchmark reaches.
harness UnlimitedHarness() {
  harness h;
  config::configuration c = TestConfiguration();
  c.version = 2;
  for (auto& [name, limit] : c.routes["orders"].organisations) {
    limit = {1e9, 1e9};
  }
  h.Apply(c);
  h.Advance(1'000);
  h.Report();
  return h;
}

// Admits and routes one request; its answer is not measured.
void MeasureDecision(benchmark::State& state, const caller_request& prototype) {
  harness h = UnlimitedHarness();
  caller_request request = prototype;
  for (auto step : state) {
    request.exchange = ++h.last_exchange;
    std::vector<action> actions = h.router.Step(h.now, request);
    state.PauseTiming();
    const auto& sent = std::get<send_request>(actions.back());
    h.router.Step(h.now, answer_arrived{sent.vm, h.Answer(sent)});
    state.ResumeTiming();
  }
}

// Admission, routing and answer. Has no pauses, whose cost distorts short
// measurements.
void MeasureExchange(benchmark::State& state, const caller_request& prototype) {
  harness h = UnlimitedHarness();
  caller_request request = prototype;
  for (auto step : state) {
    request.exchange = ++h.last_exchange;
    std::vector<action> actions = h.router.Step(h.now, request);
    const auto& sent = std::get<send_request>(actions.back());
    benchmark::DoNotOptimize(
        h.router.Step(h.now, answer_arrived{sent.vm, h.Answer(sent)}));
  }
}

caller_request WithToken(caller_request request) {
  session::token token("north");
  token.Advance("g", {1, 10}, true);
  request.session = session::Encode(token, TestOptions().token_key);
  return request;
}

caller_request OpenRead() {
  caller_request request = harness().Read();
  request.route = "public";
  request.bearer.reset();
  return request;
}

const bool kRegistered = [] {
  const std::pair<const char*, caller_request> cases[] = {
      {"open_read", OpenRead()},
      {"read", harness().Read()},
      {"read_with_token", WithToken(harness().Read())},
      {"write", harness().Write()},
      {"repeatable_write", harness().Write("key")}};
  for (const auto& [name, request] : cases) {
    benchmark::RegisterBenchmark(("decision/" + std::string(name)).c_str(),
                                 MeasureDecision, request);
    benchmark::RegisterBenchmark(("exchange/" + std::string(name)).c_str(),
                                 MeasureExchange, request);
  }
  return true;
}();

}  // namespace
}  // namespace tarragondale::entry

BENCHMARK_MAIN();
