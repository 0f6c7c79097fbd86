// Tests of the key-value service.
#include "src/standin/test_clients.h"

namespace tarragondale::standin {
namespace {

std::unique_ptr<server> StartStore() {
  server_options options;
  options.store_port = 0;
  return StartServer(options);
}

std::string Encoded(const std::string& text) {
  return Base64Encode(text);
}

json Put(const server& parts, const std::string& key, const json& more = {}) {
  json body = {{"key", Encoded(key)}, {"value", Encoded("v")}};
  if (more.is_object()) {
    body.update(more);
  }
  const http_reply answer = Post(parts, "store", "/v3/kv/put", body);
  EXPECT_EQ(answer.status, 200) << answer.body;
  return answer.body;
}

json Range(const server& parts, const std::string& key, const json& more = {}) {
  json body = {{"key", Encoded(key)}};
  if (more.is_object()) {
    body.update(more);
  }
  return Post(parts, "store", "/v3/kv/range", body).body;
}

// Guards against answers that differ from the JSON mapping of etcd.
TEST(StandinKeyValueTest, RangesAndRevisions) {
  const auto parts = StartStore();
  EXPECT_EQ(Put(*parts, "a")["header"]["revision"], "2");
  EXPECT_EQ(Put(*parts, "b")["header"]["revision"], "3");
  EXPECT_EQ(Put(*parts, "a", {{"prev_kv", true}})["prev_kv"]["version"], "1");
  const json one = Range(*parts, "a");
  EXPECT_EQ(one["count"], "1");
  EXPECT_EQ(one["kvs"][0], json({{"key", Encoded("a")},
                                 {"value", Encoded("v")},
                                 {"create_revision", "2"},
                                 {"mod_revision", "4"},
                                 {"version", "2"}}));
  const json all = {{"range_end", Encoded(std::string(1, '\0'))}};
  EXPECT_EQ(Range(*parts, "a", all)["kvs"].size(), 2U);
  EXPECT_EQ(Range(*parts, "b", all)["kvs"].size(), 1U);
  EXPECT_EQ(Range(*parts, "a", {{"range_end", Encoded("b")}})["count"], "1");
  const json limited =
      Range(*parts, "a", {{"range_end", Encoded("z")}, {"limit", "1"}});
  EXPECT_EQ(limited["kvs"].size(), 1U);
  EXPECT_EQ(limited["more"], true);
  EXPECT_EQ(limited["count"], "2");
  EXPECT_EQ(Range(*parts, "a", {{"revision", 2}})["kvs"][0]["version"], "1");
  EXPECT_FALSE(Range(*parts, "missing").contains("kvs"));
  const json deleted =
      Post(*parts, "store", "/v3/kv/deleterange",
           {{"key", Encoded("a")}, {"range_end", Encoded("z")}})
          .body;
  EXPECT_EQ(deleted["deleted"], "2");
  EXPECT_EQ(deleted["header"]["revision"], "5");
  EXPECT_EQ(Post(*parts, "store", "/v3/kv/deleterange", {{"key", "YQ=="}})
                .body["header"]["revision"],
            "5");
}

struct compare_case {
  json compare;
  bool holds;
};

// Guards against compare-and-swap that succeeds although another writer was
// first.
TEST(StandinKeyValueTest, TransactionCompares) {
  const auto parts = StartStore();
  Put(*parts, "k");
  Put(*parts, "k");
  const std::string v = Encoded("v");
  const std::vector<compare_case> cases = {
      {{{"target", "VERSION"}, {"version", "2"}}, true},
      {{{"target", "VERSION"}, {"result", "EQUAL"}, {"version", 1}}, false},
      {{{"target", "CREATE"}, {"create_revision", "2"}}, true},
      {{{"target", "CREATE"}, {"result", "GREATER"}, {"create_revision", "1"}},
       true},
      {{{"target", "MOD"}, {"result", "LESS"}, {"mod_revision", "4"}}, true},
      {{{"target", "MOD"}, {"result", "LESS"}, {"mod_revision", "3"}}, false},
      {{{"target", "MOD"}, {"result", "NOT_EQUAL"}, {"mod_revision", "3"}},
       false},
      {{{"target", "VALUE"}, {"value", v}}, true},
      {{{"target", "VALUE"}, {"result", "NOT_EQUAL"}, {"value", v}}, false},
      {{{"target", "VALUE"}, {"result", "GREATER"}, {"value", Encoded("u")}},
       true},
      {{{"key", Encoded("missing")}, {"target", "VERSION"}, {"version", "0"}},
       true},
      {{{"key", Encoded("missing")}, {"target", "CREATE"}}, true},
      {{{"key", Encoded("missing")},
        {"target", "VALUE"},
        {"result", "NOT_EQUAL"},
        {"value", v}},
       false},
  };
  for (compare_case item : cases) {
    if (!item.compare.contains("key")) {
      item.compare["key"] = Encoded("k");
    }
    const json answer = Post(*parts, "store", "/v3/kv/txn",
                             {{"compare", json::array({item.compare})}})
                            .body;
    EXPECT_EQ(answer.value("succeeded", false), item.holds) << item.compare;
    EXPECT_EQ(answer["header"]["revision"], "3");
  }
}

// Guards against a transaction that takes several revisions or partial effect.
TEST(StandinKeyValueTest, TransactionIsOneRevisionOrNothing) {
  const auto parts = StartStore();
  Put(*parts, "old");
  const auto put = [](const std::string& key) {
    return json{{"request_put", {{"key", Encoded(key)}}}};
  };
  const json done =
      Post(*parts, "store", "/v3/kv/txn",
           {{"success",
             {put("x"),
              put("y"),
              {{"request_delete_range", {{"key", Encoded("old")}}}},
              {{"request_range", {{"key", Encoded("x")}}}}}}})
          .body;
  EXPECT_EQ(done["header"]["revision"], "3");
  EXPECT_EQ(done["responses"][0]["response_put"]["header"]["revision"], "3");
  EXPECT_EQ(done["responses"][2]["response_delete_range"]["deleted"], "1");
  EXPECT_EQ(done["responses"][3]["response_range"]["kvs"][0]["mod_revision"],
            "3");
  const std::vector<json> refused = {
      {{"success", {put("z"), put("z")}}},
      {{"success",
        {put("z"),
         {{"request_put", {{"key", Encoded("q")}, {"lease", "99"}}}}}}},
      {{"success", {put("z"), {{"request_txn", json::object()}}}}},
      {{"success", {put("z"), {{"request_range", json::object()}}}}},
      {{"success", {put("z"), {{"request_put", {{"key", "***"}}}}}}},
  };
  for (const json& body : refused) {
    EXPECT_GE(Post(*parts, "store", "/v3/kv/txn", body).status, 400) << body;
  }
  const json unchanged = Range(*parts, "z");
  EXPECT_FALSE(unchanged.contains("kvs"));
  EXPECT_EQ(unchanged["header"]["revision"], "3");
}

// Guards against a malformed request that ends the service.
TEST(StandinKeyValueTest, MalformedRequestsAreRefused) {
  const auto parts = StartStore();
  const std::vector<std::string> bodies = {"",
                                           "{",
                                           "[]",
                                           "null",
                                           R"({"key":1})",
                                           R"({"key":"="})",
                                           R"({"key":""})",
                                           R"({"key":"YQ==","limit":"x"})",
                                           R"({"key":"YQ==","limit":[]})",
                                           "{\"key\":\"\xFF\"}"};
  for (const std::string& body : bodies) {
    EXPECT_EQ(Call(*parts, "store", boost::beast::http::verb::post,
                   "/v3/kv/range", body)
                  .status,
              400)
        << body;
  }
  EXPECT_EQ(Post(*parts, "store", "/v3/kv/nothing").status, 404);
  EXPECT_EQ(Get(*parts, "store", "/v3/kv/range").status, 405);
  raw_client client(*parts, "store");
  client.Write("\x16\x03\x01 not HTTP\r\n\r\n");
  client.ReadToEnd();
  EXPECT_EQ(Put(*parts, "a")["header"]["revision"], "2");
  EXPECT_EQ(Counter(*parts, "store", "/v3/kv/put"), 1);
}

// Starts a watch; answers are read line by line from the chunks.
class watch_client {
 public:
  watch_client(const server& parts, const json& create)
      : client_(parts, "store") {
    const std::string body = json{{"create_request", create}}.dump();
    client_.Write(
        fmt::format("POST /v3/watch HTTP/1.1\r\nHost: x\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    body.size(), body));
    const std::string header = client_.ReadUntil("\r\n\r\n");
    EXPECT_NE(header.find("chunked"), std::string::npos);
  }

  json Next() {
    client_.ReadUntil("\r\n");  // Size of the chunk.
    const std::string line = client_.ReadUntil("\n");
    client_.ReadUntil("\r\n");
    return json::parse(line, nullptr, false)["result"];
  }

 private:
  raw_client client_;
};

// Guards against events that a watch misses between its past revision and now.
TEST(StandinKeyValueTest, WatchStartsFromAPastRevision) {
  const auto parts = StartStore();
  Put(*parts, "p/1");
  Put(*parts, "other");
  Put(*parts, "p/2");
  watch_client watch(*parts, {{"key", Encoded("p/")},
                              {"range_end", Encoded("p0")},
                              {"start_revision", "2"}});
  EXPECT_EQ(watch.Next()["created"], true);
  const json past = watch.Next();
  ASSERT_EQ(past["events"].size(), 2U);
  EXPECT_EQ(past["events"][0]["kv"]["mod_revision"], "2");
  EXPECT_EQ(past["events"][1]["kv"]["mod_revision"], "4");
  EXPECT_FALSE(past["events"][0].contains("type"));  // PUT is the default.
  Put(*parts, "other");
  Post(*parts, "store", "/v3/kv/deleterange", {{"key", Encoded("p/1")}});
  const json deleted = watch.Next();
  EXPECT_EQ(deleted["header"]["revision"], "6");
  ASSERT_EQ(deleted["events"].size(), 1U);
  EXPECT_EQ(deleted["events"][0]["type"], "DELETE");
  EXPECT_EQ(deleted["events"][0]["kv"],
            json({{"key", Encoded("p/1")}, {"mod_revision", "6"}}));
}

// Guards against a watch that silently skips a compacted history.
TEST(StandinKeyValueTest, WatchBeforeTheCompactionIsCanceled) {
  const auto parts = StartStore();
  for (int i = 0; i < 4; ++i) {
    Put(*parts, "a");
  }
  EXPECT_EQ(
      Post(*parts, "store", "/v3/kv/compaction", {{"revision", "4"}}).status,
      200);
  watch_client watch(*parts, {{"key", Encoded("a")}, {"start_revision", 2}});
  EXPECT_EQ(watch.Next()["created"], true);
  const json canceled = watch.Next();
  EXPECT_EQ(canceled["canceled"], true);
  EXPECT_EQ(canceled["compact_revision"], "4");
  watch_client later(*parts, {{"key", Encoded("a")}, {"start_revision", 4}});
  later.Next();
  EXPECT_EQ(later.Next()["events"].size(), 2U);
}

// Guards against leases that never end or that end without an event.
TEST(StandinKeyValueTest, LeaseExpiryDeletesItsKeys) {
  const auto parts = StartStore();
  const json lease =
      Post(*parts, "store", "/v3/lease/grant", {{"TTL", "1"}}).body;
  EXPECT_EQ(lease["TTL"], "1");
  watch_client watch(*parts, {{"key", Encoded("k")}});
  watch.Next();
  Put(*parts, "k", {{"lease", lease["ID"]}});
  EXPECT_EQ(watch.Next()["events"][0]["kv"]["lease"], lease["ID"]);
  EXPECT_EQ(watch.Next()["events"][0]["type"], "DELETE");
  EXPECT_FALSE(Range(*parts, "k").contains("kvs"));
  EXPECT_FALSE(
      Post(*parts, "store", "/v3/lease/keepalive", {{"ID", lease["ID"]}})
          .body["result"]
          .contains("TTL"));
  EXPECT_EQ(Post(*parts, "store", "/v3/kv/put",
                 {{"key", Encoded("k")}, {"lease", lease["ID"]}})
                .status,
            404);
}

TEST(StandinKeyValueTest, LeaseIsKeptAndRevoked) {
  const auto parts = StartStore();
  for (const char* const path : {"/v3/lease/revoke", "/v3/kv/lease/revoke"}) {
    const json lease =
        Post(*parts, "store", "/v3/lease/grant", {{"TTL", 3600}}).body;
    Put(*parts, "k", {{"lease", lease["ID"]}});
    EXPECT_EQ(
        Post(*parts, "store", "/v3/lease/keepalive", {{"ID", lease["ID"]}})
            .body["result"]["TTL"],
        "3600");
    const json id = {{"ID", lease["ID"]}};
    EXPECT_EQ(Post(*parts, "store", path, id).status, 200);
    EXPECT_FALSE(Range(*parts, "k").contains("kvs"));
    EXPECT_EQ(Post(*parts, "store", path, id).status, 404);
  }
}

// Guards against lost answers whose request did not take effect: clients must
// find their write when they read back.
TEST(StandinKeyValueTest, DroppedAnswerComesAfterTheEffect) {
  const auto parts = StartStore();
  Control(*parts, "/v1/parts/store/drop_answers",
          {{"count", 1}, {"match", "/v3/kv/put"}});
  EXPECT_EQ(Range(*parts, "a")["header"]["revision"], "1");
  EXPECT_EQ(Post(*parts, "store", "/v3/kv/put", {{"key", Encoded("a")}}).status,
            0);
  EXPECT_EQ(Range(*parts, "a")["count"], "1");
}

TEST(StandinKeyValueTest, FaultsOfTheStore) {
  const auto parts = StartStore();
  Control(*parts, "/v1/parts/store/refuse");
  EXPECT_EQ(Post(*parts, "store", "/v3/kv/put", {{"key", "YQ=="}}).status, 503);
  Control(*parts, "/v1/parts/store/stop");
  EXPECT_EQ(Post(*parts, "store", "/v3/kv/put", {{"key", "YQ=="}}).status, 0);
  Control(*parts, "/v1/parts/store/heal");
  EXPECT_EQ(Range(*parts, "a")["header"]["revision"], "1");
}

}  // namespace
}  // namespace tarragondale::standin
