// Measures one decision of the request router: admission and routing of a
// request, with and without its answer. Goal: below 2 us on one core.
#include <benchmark/benchmark.h>

#include "src/entry/access_check.h"
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

// Admits and routes requests in batches; their answers are not measured. A
// batch is long enough that the cost of pausing the timer does not count.
void MeasureDecision(benchmark::State& state, const caller_request& prototype) {
  constexpr size_t kBatch = 512;
  harness h = UnlimitedHarness();
  caller_request request = prototype;
  std::vector<std::vector<action>> actions(kBatch);
  while (state.KeepRunningBatch(kBatch)) {
    for (std::vector<action>& one : actions) {
      request.exchange = ++h.last_exchange;
      one = h.router.Step(h.now, request);
    }
    state.PauseTiming();
    for (const std::vector<action>& one : actions) {
      const auto& sent = std::get<send_request>(one.back());
      h.router.Step(h.now, answer_arrived{sent.vm, h.Answer(sent)});
    }
    state.ResumeTiming();
  }
}

// Admission, routing and answer of one request.
void MeasureExchange(benchmark::State& state, const caller_request& prototype) {
  harness h = UnlimitedHarness();
  caller_request request = prototype;
  while (state.KeepRunning()) {
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

// The parts that use digests, which make up most of a keyed decision.
void MeasureKeyCheck(benchmark::State& state) {
  const config::configuration c = TestConfiguration();
  const std::string bearer = std::string("k1.") + kSecret;
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(config::VerifyBearer(c, bearer));
  }
}

void MeasureTokenDecode(benchmark::State& state) {
  const std::string text = *WithToken(harness().Read()).session;
  const std::string key = TestOptions().token_key;
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(session::Decode(text, key, "north"));
  }
}

void MeasureTokenEncode(benchmark::State& state) {
  session::token token("north");
  token.Advance("g", {1, 10}, true);
  const std::string key = TestOptions().token_key;
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(session::Encode(token, key));
  }
}

void RegisterAll() {
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
  benchmark::RegisterBenchmark("part/key_check", MeasureKeyCheck);
  benchmark::RegisterBenchmark("part/token_decode", MeasureTokenDecode);
  benchmark::RegisterBenchmark("part/token_encode", MeasureTokenEncode);
}

}  // namespace
}  // namespace tarragondale::entry

int main(int argc, char** argv) {
  tarragondale::entry::RegisterAll();
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
