// Tests of the config library.
#include "tarragondale/config.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>

namespace tarragondale::config {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Digits() {
  return std::string(64, 'a');
}

std::string GoodSettings() {
  return "[vm]\nname = vm-1\navailability_zone = kgn-a\nregion = kingston\n"
         "http_address = 127.0.0.1:8080\npeer_address = [::1]:8081\n"
         "[store]\nendpoints = 127.0.0.1:1, 127.0.0.1:2 ; two\nregion = "
         "kingston\n"
         "[vm_list]\nurl = http://127.0.0.1:9/vms\n"
         "[session]\ntoken_key = " +
         Digits() + "\n[admin]\noperator_key_digest = " + Digits() + "\n";
}

std::vector<std::string> Reasons(const std::vector<failure>& failures) {
  std::vector<std::string> reasons;
  reasons.reserve(failures.size());
  for (const failure& each : failures) {
    reasons.push_back(each.reason);
  }
  return reasons;
}

TEST(SettingsTest, FileIsReadAndDefaultsHold) {
  const settings_outcome outcome = ParseSettings(GoodSettings(), "a.ini");
  EXPECT_EQ(Reasons(outcome.errors), std::vector<std::string>());
  EXPECT_EQ(outcome.value.vm_name, "vm-1");
  EXPECT_EQ(outcome.value.store_endpoints,
            (std::vector<std::string>{"127.0.0.1:1", "127.0.0.1:2"}));
  EXPECT_EQ(outcome.value.token_key, std::string(32, '\xaa'));
  EXPECT_EQ(outcome.value.body_bytes, 1048576);
}

// Guards against an operator who has to correct a file one error at a time,
// and against secrets in errors.
TEST(SettingsTest, AllErrorsComeTogetherWithTheirLines) {
  const std::string text =
      "[vm]\nname = VM\n  name = b\nregion = r\ncolour = red\nno equals sign\n"
      "also none\n[limits]\nbody_bytes = 9\nqueue_length = 5x\n[oops]\n"
      "[log]\nlevel = loud\n[session]\ntoken_key = secret\n[admin] x\n"
      "operator_key_digest = " +
      Digits() + "\n[store]\nendpoints = 127.0.0.1:1,,\n" +
      std::string(300, 'x') + "\n";
  constexpr std::string_view kExpected =
      R"(a.ini: vm.availability_zone is missing; allowed: 1 to 63 characters of a-z, 0-9 and -
a.ini: vm.http_address is missing; allowed: IP:port
a.ini: vm.peer_address is missing; allowed: IP:port
a.ini: store.region is missing; allowed: 1 to 63 characters of a-z, 0-9 and -
a.ini: vm_list.url is missing; allowed: http://IP:port/path
a.ini:2: vm.name: "VM" is not allowed; allowed: 1 to 63 characters of a-z, 0-9 and -
a.ini:3: vm.name stands twice
a.ini:5: vm.colour is no known key
a.ini:6: not a [section] or key = value; see docs/settings.md
a.ini:7: not a [section] or key = value; see docs/settings.md
a.ini:9: limits.body_bytes: "9" is not allowed; allowed: 1024 to 67108864 bytes
a.ini:10: limits.queue_length: "5x" is not allowed; allowed: 1 to 100000
a.ini:11: [oops] is no known section
a.ini:13: log.level: "loud" is not allowed; allowed: debug, info, warning, error
a.ini:15: session.token_key: the value is not allowed; allowed: 64 hexadecimal digits
a.ini:16: text after [admin]
a.ini:19: store.endpoints: "127.0.0.1:1,," is not allowed; allowed: IP:port, separated by commas
a.ini:20: line is longer than 197 bytes or contains a zero byte)";
  EXPECT_EQ(
      fmt::format(
          "{}", fmt::join(Reasons(ParseSettings(text, "a.ini").errors), "\n")),
      kExpected);
}

// Guards against a long value that inih would cut off without an error.
TEST(SettingsTest, LongestLineArrivesWhole) {
  std::string url = "url = http://127.0.0.1:9/";
  url.append(197 - url.size(), 'p');
  std::string text = GoodSettings();
  text.replace(text.find("url ="),
               text.find("\n[session]") - text.find("url ="), url);
  const settings_outcome outcome = ParseSettings(text, "a.ini");
  EXPECT_EQ(Reasons(outcome.errors), std::vector<std::string>());
  EXPECT_EQ("url = " + outcome.value.vm_list_url, url);
}

TEST(SettingsTest, AddressesAndUrlsAreChecked) {
  for (const char* bad : {"", "a:1", "127.0.0.1", "127.0.0.1:0", "::1:80",
                          "127.0.0.1:65536", "127.0.0.1:8x", "[::1]"}) {
    EXPECT_FALSE(IsAddress(bad)) << bad;
  }
  EXPECT_EQ(ParseHttpUrl("http://127.0.0.1:9")->path, "/");
  EXPECT_FALSE(ParseHttpUrl("http://127.0.0.1:9/a b"));
  EXPECT_FALSE(ParseHttpUrl("https://127.0.0.1:9/"));
}

// Guards against docs that differ from the table.
TEST(SettingsTest, DocsHoldExactlyTheTable) {
  const std::string docs =
      ReadFile(TARRAGONDALE_SOURCE_DIR "/docs/settings.md");
  std::string expected;
  for (const setting_info& row : SettingsTable()) {
    const std::string standard = DefaultText(row);
    expected += fmt::format("| `{}` | `{}` | {} | {} | {} |\n", row.section,
                            row.name, AllowedText(row),
                            standard.empty() ? RequirementText(row) : standard,
                            row.meaning);
  }
  const size_t start = docs.find("| `vm`");
  ASSERT_NE(start, std::string::npos);
  EXPECT_EQ(docs.substr(start, docs.rfind("|\n") + 2 - start), expected);
}

route_row Route(const std::string& name) {
  route_row route{name, "p", true, true, false, {}, 7};
  route.organisations["org"] = {50, 100};
  return route;
}

pool_row Pool(const std::string& name, const std::string& group, int port) {
  pool_row pool{name, group, "orders_db", 2, 16, acknowledge_mode::kMajority,
                {},   7};
  for (int i = 1; i <= 3; ++i) {
    pool.members.push_back({fmt::format("m{}", i),
                            fmt::format("127.0.0.1:{}", port + i), "z", "r",
                            i == 3});
  }
  return pool;
}

configuration Good() {
  configuration value;
  value.version = 7;
  value.routes["r"] = Route("r");
  value.pools["p"] = Pool("p", "g", 1000);
  return value;
}

TEST(CodecTest, RowsSurviveTheRoundTrip) {
  EXPECT_EQ(*DecodeRoute(EncodeRoute(Route("r")), "r"), Route("r"));
  pool_row pool = Pool("p", "g", 1000);
  pool.acknowledge = acknowledge_mode::kPrimary;
  EXPECT_EQ(*DecodePool(EncodePool(pool), "p"), pool);
  const key_record key = GrantKey("org")->record;
  EXPECT_EQ(*DecodeKey(EncodeKey(key), "k"), key);
  std::vector<failure> errors;
  const tables both{{Route("r")}, {pool}};
  EXPECT_EQ(DecodeTables(EncodeTables(both), "f", errors), both);
  EXPECT_TRUE(errors.empty());
}

// Guards against a misspelt field that is silently ignored.
TEST(CodecTest, FaultsNameRowAndField) {
  const std::string start = R"({"name":"r","pool":"p","kinds":["read"],)";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {start + R"("opened":true})", "r: opened: is no known field"},
      {start + R"("open":1})", "r: open: must be true or false"},
      {start + R"("open":true,"open":false})",
       "r: field \"open\" stands twice"},
      {start + R"("version":-1})",
       "r: version: must be an integer from 0 to 9223372036854775807"},
      {start + R"("organisations":{"o":{"rate":"5","burst":1}}})",
       "r: organisations.o.rate: must be a number"},
      {R"({"name":"r","pool":"p","kinds":["read","read"]})",
       "r: kinds: must be a list of \"read\" and \"write\", each once"},
      {R"({"name":"r","kinds":[]})", "r: pool: is missing"},
      {"[]", "r: must be an object"},
  };
  for (const auto& [text, reason] : cases) {
    EXPECT_EQ(DecodeRoute(text, "r").error(),
              (failure{result_code::kTableInvalid, reason}));
  }
  EXPECT_FALSE(DecodeRoute("{\"name\":1e999}", "r"));
  EXPECT_FALSE(DecodeRoute(std::string(100000, '['), "r"));
  EXPECT_EQ(DecodePool(R"({"name":"p","group":"g","database":"d","slots":1e3,
                           "connections":4,"members":[]})",
                       "p")
                .error()
                .reason,
            "p: slots: must be an integer from 0 to 2147483647");
  std::vector<failure> errors;
  DecodeTables(R"({"pools":[{"name":"p"}],"routes":[3],"rutes":[]})", "f",
               errors);
  EXPECT_EQ(Reasons(errors),
            (std::vector<std::string>{"f: routes[0]: must be an object",
                                      "f: pools[0] \"p\": group: is missing",
                                      "f: rutes: is no known field"}));
}

// Guards against an exception for any bytes that another writer may store.
TEST(CodecTest, DamagedRowsNeverThrow) {
  EXPECT_TRUE(rc::check([](size_t place, char byte) {
    std::string text = EncodePool(Pool("p", "g", 1000));
    text[place % text.size()] = byte;
    const auto row = DecodePool(text, "p");
    RC_ASSERT(bool(row) || row.error().code == result_code::kTableInvalid);
    DecodeRoute(text.substr(place % text.size()), "r");
  }));
}

// Guards against a check that misses one of the contradictions.
TEST(CheckTest, EachContradictionIsFound) {
  EXPECT_EQ(Reasons(CheckConfiguration(Good())), std::vector<std::string>());
  const auto expect = [](const std::string& reason, auto change) {
    configuration value = Good();
    change(value);
    const std::vector<failure> found = CheckConfiguration(value);
    ASSERT_EQ(found.size(), 1U)
        << reason << " " << fmt::format("{}", fmt::join(Reasons(found), "; "));
    EXPECT_NE(found[0].reason.find(reason), std::string::npos)
        << found[0].reason;
  };
  using c = configuration;
  const double nan = std::numeric_limits<double>::quiet_NaN();
  expect("no pool \"q\"", [](c& v) { v.routes["r"].pool = "q"; });
  expect("differ from 50 and 100 in routes/r", [](c& v) {
    v.routes["s"] = Route("s");
    v.routes["s"].organisations["org"].burst = 99;
  });
  expect("rate: 0 is not above 0",
         [](c& v) { v.routes["r"].organisations["org"].rate = 0; });
  expect("rate: nan",
         [&](c& v) { v.routes["r"].organisations["org"].rate = nan; });
  expect("burst: 0.5",
         [](c& v) { v.routes["r"].organisations["org"].burst = 0.5; });
  expect("members: differ from pools/p", [](c& v) {
    v.pools["q"] = Pool("q", "g", 1000);
    v.pools["q"].members.pop_back();
  });
  expect("slots, connections: differ", [](c& v) {
    v.pools["q"] = Pool("q", "g", 1000);
    v.pools["q"].slots = 3;
  });
  expect("belongs to group g", [](c& v) {
    v.pools["q"] = Pool("q", "h", 2000);
    v.pools["q"].members[0].address = "127.0.0.1:1001";
  });
  expect("\"m1\" stands twice",
         [](c& v) { v.pools["p"].members[1].name = "m1"; });
  expect("127.0.0.1:1001 stands twice",
         [](c& v) { v.pools["p"].members[1].address = "127.0.0.1:1001"; });
  expect("\"host:1\" is not IP:port",
         [](c& v) { v.pools["p"].members[1].address = "host:1"; });
  expect("members: must not be empty",
         [](c& v) { v.pools["p"].members.clear(); });
  expect("slots: 17 is above connections",
         [](c& v) { v.pools["p"].slots = 17; });
  expect("slots: 0", [](c& v) { v.pools["p"].slots = 0; });
  expect("connections: 3 leave a gateway none",
         [](c& v) { v.pools["p"].connections = 3; });
  expect("must not be empty unless",
         [](c& v) { v.routes["r"].organisations.clear(); });
  expect("must be empty on an open", [](c& v) { v.routes["r"].open = true; });
  expect("kinds", [](c& v) {
    v.routes["r"].allows_reads = v.routes["r"].allows_writes = false;
  });
  expect("differs from the row's name", [](c& v) { v.routes["r"].name = "s"; });
  expect("\"G\" is not 1 to 63", [](c& v) { v.pools["p"].group = "G"; });
  expect("salt", [](c& v) {
    v.keys["k"] = {"k", "org", "00", std::string(64, '0'), 0};
  });
}

// Guards against examples that the program refuses.
TEST(ExamplesTest, SettingsAndTablesAreValid) {
  const std::string folder = TARRAGONDALE_SOURCE_DIR "/examples/";
  EXPECT_EQ(Reasons(LoadSettings(folder + "settings.ini").errors),
            std::vector<std::string>());
  EXPECT_EQ(LoadSettings(folder + "absent.ini").errors.size(), 1U);
  std::vector<failure> errors;
  const tables read =
      DecodeTables(ReadFile(folder + "tables.json"), "tables.json", errors);
  EXPECT_EQ(Reasons(errors), std::vector<std::string>());
  configuration value;
  for (const route_row& row : read.routes) {
    value.routes[row.name] = row;
  }
  for (const pool_row& row : read.pools) {
    value.pools[row.name] = row;
  }
  EXPECT_EQ(Reasons(CheckConfiguration(value)), std::vector<std::string>());
  EXPECT_TRUE(ConfigurationWarnings(value).empty());
}

TEST(CheckTest, DoubtfulRowsAreWarningsOnly) {
  configuration value = Good();
  const key_record key = GrantKey("other")->record;
  value.keys[key.id] = key;
  value.pools["p"].members.pop_back();
  EXPECT_TRUE(CheckConfiguration(value).empty());
  EXPECT_EQ(ConfigurationWarnings(value),
            (std::vector<std::string>{
                "pools/p: 2 members tolerate no more failures than 1",
                "keys/" + key.id + ": no route lists organisation other"}));
  EXPECT_EQ(GatewayConnections(16), 7);
  EXPECT_EQ(GatewayConnections(60), 29);
}

// Guards against a reload that takes settings over which need a restart, or
// overlooks one of another type.
TEST(SettingsChangeTest, RowsThatDifferAreNamedAndCopiedOneByOne) {
  const settings before;
  settings after = before;
  EXPECT_TRUE(ChangedSettings(before, after).empty());
  after.vm_name = "vm-2";
  after.grace_ms = 9000;
  after.level = log_level::kDebug;
  after.seed_peers = {"127.0.0.1:7"};
  settings copied = before;
  std::vector<std::string_view> names;
  for (const setting_info* row : ChangedSettings(before, after)) {
    names.push_back(row->name);
    if (row->name != "name") {
      CopySetting(*row, after, copied);
    }
  }
  EXPECT_EQ(names, (std::vector<std::string_view>{"name", "level", "seed_peers",
                                                  "grace_ms"}));
  EXPECT_EQ(copied.vm_name, before.vm_name);
  copied.vm_name = after.vm_name;
  EXPECT_EQ(copied, after);
}

// Guards against a reload that changes what a process told others of itself,
// or an address that it listens on.
TEST(SettingsChangeTest, IdentityAndListeningAddressesNeedARestart) {
  std::vector<std::string> live;
  for (const setting_info& row : SettingsTable()) {
    if (row.live) {
      live.push_back(fmt::format("{}.{}", row.section, row.name));
    }
  }
  EXPECT_EQ(live, (std::vector<std::string>{
                      "store.endpoints", "log.level", "line.promotion_address",
                      "line.seed_peers", "line.zones", "line.leaving_ms",
                      "line.grace_ms", "line.open_files",
                      "line.caller_memory_percent", "line.waiting_statements",
                      "line.waiting_bytes", "line.unsent_bytes",
                      "line.line_timeout_ms", "line.answer_timeout_ms"}));
}

TEST(KeyTest, OnlyTheGrantedTextIsAccepted) {
  const granted_key granted = *GrantKey("org");
  configuration value;
  value.keys[granted.record.id] = granted.record;
  const auto found = VerifyBearer(value, granted.bearer);
  ASSERT_TRUE(found);
  EXPECT_EQ((*found)->organisation, "org");
  EXPECT_EQ(VerifyBearer(value, std::nullopt).error().code,
            result_code::kKeyMissing);
  EXPECT_EQ(VerifyBearer(value, "").error().code, result_code::kKeyMissing);
  for (const std::string& bad :
       {granted.bearer + "A", granted.bearer.substr(0, 59), granted.record.id,
        granted.record.id + ".", "x" + granted.bearer, std::string(5000, '.'),
        GrantKey("org")->bearer}) {
    const auto refused = VerifyBearer(value, bad);
    EXPECT_EQ(refused.error().code, result_code::kKeyInvalid);
    EXPECT_EQ(refused.error().reason.find(granted.bearer.substr(17)),
              std::string::npos);
  }
  value.keys.clear();
  EXPECT_EQ(VerifyBearer(value, granted.bearer).error().code,
            result_code::kKeyInvalid);
  EXPECT_FALSE(GrantKey("No Name"));
}

TEST(KeyTest, OperatorKeyMatchesItsDigest) {
  EXPECT_TRUE(VerifyOperatorKey(Sha256("key"), "key"));
  EXPECT_FALSE(VerifyOperatorKey(Sha256("key"), "kez"));
  EXPECT_FALSE(VerifyOperatorKey("", "key"));
}

}  // namespace
}  // namespace tarragondale::config
