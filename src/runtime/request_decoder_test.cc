// Tests of request decoding: bad input gets a numbered error.
#include "src/runtime/request_decoder.h"

#include <gtest/gtest.h>

namespace tarragondale::runtime {
namespace {

http_request Post(const std::string& target, const std::string& body) {
  return {"POST", target, {{"Host", "x"}}, body};
}

result<entry::caller_request> Decode(const http_request& request) {
  const auto path = RoutePath(request.method, request.target);
  EXPECT_TRUE(path);
  return DecodeCallerRequest(request, *path);
}

constexpr char kWrite[] = R"json(
    {"route": "orders", "kind": "write", "timeout_ms": 5000,
     "statements": [{"sql": "INSERT INTO orders VALUES ($1, $2, $3, $4)",
                     "params": ["o-17", 3, true, null]}]})json";

TEST(RequestDecoderTest, WholeWriteIsDecoded) {
  http_request request = Post("/v1/execute", kWrite);
  request.headers.emplace_back("AUTHORIZATION", "bearer key-1.secret");
  request.headers.emplace_back("Idempotency-Key", "order-17");
  request.headers.emplace_back("Tarragondale-Session", "token");
  const auto decoded = Decode(request);
  ASSERT_TRUE(decoded) << decoded.error().reason;
  EXPECT_EQ(decoded->route, "orders");
  EXPECT_EQ(decoded->kind, wire::request_kind::kWrite);
  EXPECT_EQ(decoded->bearer, "key-1.secret");
  EXPECT_EQ(decoded->idempotency_key, "order-17");
  EXPECT_EQ(decoded->session, "token");
  EXPECT_EQ(decoded->timeout_ms, 5000);
  EXPECT_EQ(decoded->max_age_ms, -1);
  ASSERT_EQ(decoded->statements.size(), 1U);
  const std::vector<wire::sql_value> expected = {"o-17", "3", "true",
                                                 std::nullopt};
  EXPECT_EQ(decoded->statements[0].params, expected);
}

TEST(RequestDecoderTest, TransactionPathsNameTheirStep) {
  const auto commit = Decode(Post("/v1/transactions/abc/commit", ""));
  ASSERT_TRUE(commit);
  EXPECT_EQ(commit->step, wire::transaction_step::kCommit);
  EXPECT_EQ(commit->transaction, "abc");
  const auto begin =
      Decode(Post("/v1/transactions", R"({"route": "r", "kind": "read"})"));
  ASSERT_TRUE(begin);
  EXPECT_EQ(begin->step, wire::transaction_step::kBegin);
  EXPECT_EQ(RoutePath("POST", "/v1/transactions//commit").error().code,
            result_code::kUnknownPath);
  EXPECT_EQ(RoutePath("POST", "/v1/transactions/a/b/commit").error().code,
            result_code::kUnknownPath);
  EXPECT_EQ(RoutePath("GET", "/v1/execute").error().code,
            result_code::kMethodNotAllowed);
}

struct bad_body {
  const char* body;
  result_code code;
};

// Without it the tests' names would hold addresses, which change in each run.
void PrintTo(const bad_body& value, std::ostream* out) {
  *out << InfoOf(value.code).name;
}

class BadBodyTest : public testing::TestWithParam<bad_body> {};

// Guards against a request that runs with another meaning than the caller's.
TEST_P(BadBodyTest, IsRefusedWithItsCode) {
  const auto decoded = Decode(Post("/v1/execute", GetParam().body));
  ASSERT_FALSE(decoded) << GetParam().body;
  EXPECT_EQ(decoded.error().code, GetParam().code) << decoded.error().reason;
}

constexpr result_code kJson = result_code::kMalformedJson;
constexpr result_code kField = result_code::kInvalidField;

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    BadBodyTest,
    testing::Values(
        bad_body{"", kJson},
        bad_body{"[]", kJson},
        bad_body{"{\"route\": ", kJson},
        bad_body{"{\"route\": \"a\", \"route\": \"b\"}", kJson},
        bad_body{"{\"route\": \"\xFF\"}", kJson},
        bad_body{"{}", kField},
        bad_body{R"({"route": 1, "kind": "read", "statements": []})", kField},
        bad_body{R"({"route": "r", "kind": "READ",
                     "statements": [{"sql": "s"}]})",
                 kField},
        bad_body{R"({"route": "r", "kind": "read", "statements": []})", kField},
        bad_body{R"({"route": "r", "kind": "read", "statements": ["s"]})",
                 kField},
        bad_body{R"({"route": "r", "kind": "read",
                     "statements": [{"sql": "a\u0000b"}]})",
                 kField},
        bad_body{R"({"route": "r", "kind": "read",
                     "statements": [{"sql": "s", "params": {}}]})",
                 kField},
        bad_body{R"({"route": "r", "kind": "read",
                     "statements": [{"sql": "s", "params": [[1]]}]})",
                 kField},
        bad_body{R"({"route": "r", "kind": "read", "max_age_ms": -1,
                     "statements": [{"sql": "s"}]})",
                 kField},
        bad_body{R"({"route": "r", "kind": "read", "timeout_ms": 1e30,
                     "statements": [{"sql": "s"}]})",
                 kField},
        bad_body{R"({"route": "r", "kind": "read", "organisation": "x",
                     "statements": [{"sql": "s"}]})",
                 kField}));

// Guards against two programs that read one request in two ways.
TEST(RequestDecoderTest, DuplicatedHeadersAreRefused) {
  http_request request = Post("/v1/execute", kWrite);
  request.headers.emplace_back("Authorization", "Bearer a.b");
  EXPECT_FALSE(CheckHeaders(request));
  request.headers.emplace_back("authorization", "Bearer c.d");
  EXPECT_EQ(CheckHeaders(request)->code, result_code::kDuplicateHeader);
  http_request lengths = Post("/v1/execute", "");
  lengths.headers.emplace_back("Content-Length", "3");
  lengths.headers.emplace_back("Transfer-Encoding", "chunked");
  EXPECT_EQ(CheckHeaders(lengths)->code, result_code::kMalformedHttp);
}

// Guards against a key in a form that is silently taken as no key.
TEST(RequestDecoderTest, OtherAuthorizationSchemesAreRefused) {
  http_request request = Post("/v1/execute", kWrite);
  request.headers.emplace_back("Authorization", "Basic abc");
  EXPECT_EQ(Decode(request).error().code, result_code::kInvalidField);
}

TEST(RequestDecoderTest, SwitchoverNeedsAGroup) {
  EXPECT_EQ(DecodeSwitchover("{}").error().code, result_code::kInvalidField);
  const auto decoded = DecodeSwitchover(R"({"group": "g", "member": "g-2"})");
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->group, "g");
  EXPECT_EQ(decoded->target, "g-2");
}

}  // namespace
}  // namespace tarragondale::runtime
