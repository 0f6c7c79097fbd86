// Tests of tarragondalectl: arguments, files, and commands against scripted
// servers.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "src/ctl/commands.h"
#include "src/ctl/files.h"
#include "src/ctl/vms.h"
#include "src/store/scripted_server.h"

namespace tarragondale::ctl {
namespace {

using store::scripted_server;
using peer = scripted_server::peer;

constexpr char kTables[] =
    R"({"routes":[{"name":"r","pool":"p","kinds":["read"],"open":true}],
        "pools":[{"name":"p","group":"g","database":"d","slots":2,
                  "connections":16,"members":[{"name":"m","address":
                  "127.0.0.1:1","availability_zone":"z","region":"r"}]}]})";

// A file of this process alone: tests run side by side.
std::string Write(const std::string& name, const std::string& text) {
  std::string path =
      fmt::format("{}ctl_test_{}_{}", testing::TempDir(), getpid(), name);
  std::ofstream(path) << text;
  return path;
}

struct outcome_of_run {
  int code = 0;
  std::string out;
  std::string err;
};

outcome_of_run RunTool(const std::vector<std::string>& words) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCommand(words, out, err);
  return {code, out.str(), err.str()};
}

TEST(ArgumentsTest, EachCommandIsRecognised) {
  const std::vector<std::string> store = {"--store", "127.0.0.1:1,127.0.0.1:2",
                                          "--operator", "ana"};
  const auto parse = [&](std::vector<std::string> words) {
    words.insert(words.end(), store.begin(), store.end());
    const auto parsed = ParseArguments(words);
    EXPECT_TRUE(parsed) << words[0] << " " << parsed.error().reason;
    return parsed ? *parsed : arguments();
  };
  EXPECT_EQ(parse({"apply", "a", "b"}).files,
            (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(parse({"delete", "pool", "x"}).what, command::kDeletePool);
  EXPECT_EQ(parse({"delete", "route", "x"}).name, "x");
  EXPECT_EQ(parse({"pools", "get"}).what, command::kGetPools);
  EXPECT_EQ(parse({"routes", "get", "x"}).name, "x");
  EXPECT_EQ(parse({"keys", "grant", "org"}).what, command::kGrantKey);
  EXPECT_EQ(parse({"keys", "list"}).what, command::kListKeys);
  EXPECT_EQ(parse({"keys", "withdraw", "id"}).name, "id");
  EXPECT_EQ(parse({"audit", "--last", "7"}).last, 7);
  EXPECT_EQ(parse({"diff", "a"}).store.size(), 2U);
  const auto moved = parse({"switchover", "g", "--to", "m", "--vms",
                            "127.0.0.1:1", "--operator-key-file", "k"});
  EXPECT_EQ(moved.what, command::kSwitchover);
  EXPECT_EQ(moved.to, "m");
}

// Guards against a command that starts although it can't be completed.
TEST(ArgumentsTest, MissingAndWrongArgumentsAreUsageErrors) {
  using words = std::vector<std::string>;
  for (const words& bad :
       {words{}, words{"apply"}, words{"apply", "f"},
        words{"apply", "f", "--store", "127.0.0.1:1"},
        words{"apply", "f", "--store", "127.0.0.1:1", "--operator", "ana",
              "--wait"},
        words{"audit", "--last", "0", "--store", "127.0.0.1:1"},
        words{"keys", "list", "--store", "host:1"},
        words{"status", "--vms", "127.0.0.1:1"},
        words{"status", "--vm-list", "ftp://x", "--operator-key-file", "k"},
        words{"status", "--unknown"}}) {
    const auto refused = RunTool(bad);
    EXPECT_EQ(refused.code, 2) << fmt::format("{}", fmt::join(bad, " "));
    EXPECT_FALSE(refused.err.empty());
  }
}

// Guards against docs that differ from the program.
TEST(HelpTest, DocsHoldTheHelpText) {
  const auto docs = ReadFile(TARRAGONDALE_SOURCE_DIR "/docs/ctl.md");
  ASSERT_TRUE(docs);
  EXPECT_NE(docs->find(HelpText()), std::string::npos);
  EXPECT_EQ(RunTool({"--help"}).out, std::string(HelpText()) + "\n");
}

TEST(FilesTest, CheckNamesEveryFault) {
  const std::string good = Write("good", kTables);
  EXPECT_EQ(RunTool({"check", good}).code, 0);
  EXPECT_NE(RunTool({"check", good}).err.find("no failover"),
            std::string::npos);
  const auto twice = RunTool({"check", good, good, "/nowhere"});
  EXPECT_EQ(twice.code, 3);
  EXPECT_NE(twice.err.find("routes/r stands twice"), std::string::npos);
  EXPECT_NE(twice.err.find("pools/p stands twice"), std::string::npos);
  EXPECT_NE(twice.err.find("/nowhere"), std::string::npos);
  const std::string dangling = Write(
      "dangling",
      R"({"routes":[{"name":"r","pool":"q","kinds":["read"],"open":true}]})");
  EXPECT_NE(RunTool({"check", dangling}).err.find("no pool \"q\""),
            std::string::npos);
}

TEST(FilesTest, DifferencesIgnoreVersions) {
  std::vector<failure> errors;
  const config::tables tables = LoadTables({Write("good", kTables)}, errors);
  config::configuration base = Merge({}, tables);
  base.routes.at("r").version = 9;
  EXPECT_TRUE(Differences(base, tables).empty());
  base.pools.at("p").slots = 1;
  base.routes.clear();
  const auto lines = Differences(base, tables);
  ASSERT_EQ(lines.size(), 3U);
  EXPECT_TRUE(lines[0].starts_with("+ routes/r"));
  EXPECT_TRUE(lines[1].starts_with("- pools/p"));
}

TEST(ExplainTest, CodesAreFoundByNumberAndName) {
  EXPECT_NE(RunTool({"explain", "6002"}).out.find("version_conflict"),
            std::string::npos);
  EXPECT_EQ(RunTool({"explain", "6002"}).out,
            RunTool({"explain", "version_conflict"}).out);
  EXPECT_EQ(RunTool({"explain", "1"}).code, 3);
}

// Answers loads with an empty configuration and edits with `edit_answer`.
scripted_server::script StoreScript(const std::string& edit_answer) {
  return [edit_answer](auto&, auto& body, peer& client) {
    client.Answer(
        body.find(R"("compare":[])") != std::string::npos
            ? R"({"header":{"revision":"1"},"succeeded":true,"responses":[
                  {"response_range":{}},{"response_range":{}},
                  {"response_range":{}},{"response_range":{}}]})"
            : edit_answer);
    return true;
  };
}

constexpr char kEdited[] = R"({"header":{"revision":"2"},"succeeded":true})";

std::string StatusJson(int version) {
  return fmt::format(
      R"({{"name":"vm-1","state":"alive","configuration_version":{},
           "availability_zone":"z","groups":[{{"group":"g","primary":"m1",
           "term":3,"members":[{{"member":"m1","role":"primary","position":7,
           "age_ms":0,"reachable":false}}]}}]}})",
      version);
}

// Guards against "in force" before every live VM has the version, and against
// a VM that is listed as leaving and gone, for which the tool would wait.
TEST(WaitTest, ReportsWhenEveryLiveVmHasTheVersion) {
  scripted_server store_server(StoreScript(kEdited));
  std::atomic<int> polls{0};
  scripted_server vm([&](auto&, auto&, peer& client) {
    client.Answer(StatusJson(++polls < 3 ? 0 : 1));
    return true;
  });
  const std::string gone =
      scripted_server([](auto&, auto&, peer&) { return false; }).address();
  scripted_server list([&](auto&, auto&, peer& client) {
    client.Answer(fmt::format(
        R"([{{"name":"vm-1","http_address":"{}","state":"live"}},
            {{"name":"vm-2","http_address":"{}","state":"leaving"}}])",
        vm.address(), gone));
    return true;
  });
  const std::string key = Write("key", "operator\n");
  const auto applied = RunTool(
      {"apply", Write("good", kTables), "--wait", "--store",
       store_server.address(), "--operator", "ana", "--vm-list",
       "http://" + list.address() + "/v1/vms", "--operator-key-file", key});
  EXPECT_EQ(applied.code, 0) << applied.err;
  EXPECT_EQ(applied.out,
            "version 1: put routes/r, put pools/p\nin force on 1 of 1\n");
  EXPECT_EQ(polls, 3);
  const auto late = RunTool({"keys", "grant", "org", "--wait", "--store",
                             store_server.address(), "--operator", "ana",
                             "--vms", vm.address() + "," + gone,
                             "--operator-key-file", key, "--wait-limit", "1"});
  EXPECT_EQ(late.code, 7);
  EXPECT_NE(late.out.find("in force on 1 of 2\n"), std::string::npos);
}

// Guards against an exit code that calls a lost or conflicting edit harmless.
TEST(EditTest, ExitCodesTellWhatBecameOfTheEdit) {
  const auto apply = [](const std::string& store) {
    return RunTool({"apply", Write("good", kTables), "--store", store,
                    "--operator", "ana", "--call-limit", "500"});
  };
  scripted_server conflict(StoreScript(
      R"({"header":{"revision":"2"},"responses":[{"response_range":{}},
          {"response_range":{}}]})"));
  EXPECT_EQ(apply(conflict.address()).code, 4);
  scripted_server lost(StoreScript("garbage"));
  EXPECT_EQ(apply(lost.address()).code, 6);
  EXPECT_EQ(apply(scripted_server([](auto&, auto&, peer&) {
                    return false;
                  }).address())
                .code,
            5);
}

// Guards against a second switchover after an answer was lost.
TEST(AdminTest, SwitchoverIsAskedOnceUnlessItDidNotRun) {
  std::atomic<int> asked{0};
  scripted_server refusing([&](auto&, auto&, peer& client) {
    ++asked;
    client.Answer(R"({"outcome":"not_run","code":8003,"reason":"r"})", 503);
    return true;
  });
  scripted_server dropping([&](auto&, auto& body, peer&) {
    ++asked;
    EXPECT_EQ(body, R"({"group":"g","member":"m"})");
    return false;
  });
  const auto run = RunTool(
      {"switchover", "g", "--to", "m", "--vms",
       refusing.address() + "," + dropping.address() + "," + refusing.address(),
       "--operator-key-file", Write("key", "k")});
  EXPECT_EQ(run.code, 6) << run.err;
  EXPECT_EQ(asked, 2);
}

TEST(AdminTest, StatusPrintsOneLineForEachVm) {
  scripted_server vm([&](auto&, auto&, peer& client) {
    client.Answer(StatusJson(4));
    return true;
  });
  const auto run = RunTool({"status", "--vms", vm.address(),
                            "--operator-key-file", Write("key", "k")});
  EXPECT_EQ(run.code, 0);
  EXPECT_EQ(run.out,
            "vm-1 alive z version 4; g: primary m1 term 3 (m1 primary 7 0 ms "
            "unreachable)\n");
  EXPECT_FALSE(DecodeStatus("[]"));
  EXPECT_FALSE(DecodeStatus(R"({"name":1})"));
  EXPECT_FALSE(DecodeVmList(R"([{"name":"x"}])"));
}

}  // namespace
}  // namespace tarragondale::ctl
