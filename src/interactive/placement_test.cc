// Tests of the allowed regions in the session broker: no statement of a
// restricted session may be sent to a member in another region.
#include <gtest/gtest.h>

#include "src/interactive/broker_harness.h"
#include "tarragondale/interactive/placement_rules.h"

namespace tarragondale::interactive {
namespace {

using enum statement_kind;
using step = member_statement::step;

// The harness's members with the primary `p` in region `r`, `r1` in region
// `east` and `r2` in a zone of an unknown region.
class placement_harness : public broker_harness {
 public:
  placement_harness() : broker_harness(Options()) {
    members()["r1"].availability_zone = "e";
    members()["r2"].availability_zone = "unknown";
    PublishMembers();
  }

  static broker_options Options() {
    broker_options options = DefaultOptions();
    options.region_of_zone["e"] = "east";
    return options;
  }

  void Restrict(const std::string& database, region_set regions) {
    configuration().routes[database].allowed_regions = std::move(regions);
    Publish();
  }
  void RestrictOrganisation(const std::string& name, region_set regions) {
    configuration().organisations[name].allowed_regions = std::move(regions);
    Publish();
  }
  void Publish() {
    ++configuration().version;
    Configure();
  }
  // Lets reads of the route `bounded` run on replicas.
  void ObservePosition() { Step(position_reported{"g", {1, 5}, now()}); }
  // Number of statements that the member received on links that still exist.
  size_t SentTo(const std::string& member) {
    size_t sent = 0;
    for (const auto& [id, each] : links()) {
      sent += each.member == member ? each.all.size() : 0;
    }
    return sent;
  }
};

TEST(PlacementRulesTest, BothSetsBindAndUnknownRegionsAreNotAllowed) {
  const region_set of_route = {"east", "west"};
  const region_set of_organisation = {"east"};
  const region_set none;
  placement_rules rules;
  rules.Add(none);
  EXPECT_FALSE(rules.restricted());
  EXPECT_TRUE(rules.AllowsMemberIn(""));
  rules.Add(of_route);
  EXPECT_TRUE(rules.AllowsMemberIn("west"));
  rules.Add(of_organisation);
  EXPECT_TRUE(rules.AllowsMemberIn("east"));
  EXPECT_FALSE(rules.AllowsMemberIn("west"));
  EXPECT_FALSE(rules.AllowsMemberIn(""));
  EXPECT_FALSE(rules.AllowsHostIn("west", false));
  EXPECT_TRUE(rules.AllowsHostIn("west", true));
}

// An empty name among the regions must not allow zones of unknown regions.
TEST(PlacementRulesTest, EmptyRegionNameAllowsNothing) {
  const region_set regions = {""};
  placement_rules rules;
  rules.Add(regions);
  EXPECT_FALSE(rules.AllowsMemberIn(""));
}

// Guards against a read on a member that is cheaper but not allowed.
TEST(PlacementTest, ReadRunsOnAMemberInAnAllowedRegion) {
  placement_harness test;
  test.Restrict("bounded", {"east"});
  test.ObservePosition();
  test.Open(1, "bounded");
  test.Send(1, kRead, "READ a");
  EXPECT_EQ(test.SentTo("r1"), 1U);
  EXPECT_EQ(test.SentTo("p") + test.SentTo("r2"), 0U);
}

// Guards against a resent read that goes to a member that is not allowed.
TEST(PlacementTest, ResentReadStaysInTheAllowedRegions) {
  placement_harness test;
  test.Restrict("bounded", {"east"});
  test.ObservePosition();
  test.Open(1, "bounded");
  test.Send(1, kRead, "READ a");
  ASSERT_NE(test.PendingLink("r1"), 0U);
  test.DropLink(test.PendingLink("r1"));
  test.AdvanceTime(milliseconds(2'000));
  EXPECT_EQ(test.SentTo("p") + test.SentTo("r2"), 0U);
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kDeadlineBeforeStart);
}

// Guards against waiting for a member that can never run the statement.
TEST(PlacementTest, StatementWithoutAnAllowedMemberIsRefusedAtOnce) {
  placement_harness test;
  test.Restrict("strict", {"nowhere"});
  test.Restrict("bounded", {"east"});
  test.Open(1, "strict");
  test.Send(1, kRead, "READ a");
  answer_caller answer = test.LastAnswer(1);
  EXPECT_EQ(answer.code, result_code::kDatabaseUnavailable);
  EXPECT_NE(answer.reason.find("none of the 3 members of group g"),
            std::string::npos)
      << answer.reason;
  // A replica is allowed, but only the primary could run the write.
  test.Open(2, "bounded");
  test.Send(2, kWrite, "WRITE a");
  answer = test.LastAnswer(2);
  EXPECT_EQ(answer.code, result_code::kDatabaseUnavailable);
  EXPECT_NE(answer.reason.find("the primary p of group g"), std::string::npos)
      << answer.reason;
  EXPECT_TRUE(test.links().empty());
  const auto& counts = test.broker().metrics().placement_refused;
  EXPECT_EQ(counts.at(placement_refusal::kNoMember), 1U);
  EXPECT_EQ(counts.at(placement_refusal::kPrimary), 1U);
}

// Guards against a change of primary that refuses statements which the next
// primary could run.
TEST(PlacementTest, StatementWaitsWhileThePrimaryIsReplaced) {
  placement_harness test;
  test.Restrict("strict", {"east"});
  test.Step(primary_leases_changed{
      {{"g", {"p", 1, test.now() + seconds(60), true}}}});
  test.Open(1, "strict");
  test.Send(1, kWrite, "WRITE a");
  test.GrantRight("r1", 2);
  test.AnswerAll();
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kOk);
}

// Guards against an organisation's regions that bind only without those of the
// route.
TEST(PlacementTest, RegionsOfRouteAndOrganisationBothBind) {
  placement_harness test;
  test.Restrict("strict", {"r", "east"});
  test.RestrictOrganisation("red", {"east"});
  test.Open(1, "strict");
  test.Send(1, kWrite, "WRITE a");
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kDatabaseUnavailable);
  test.Open(2, "strict", "key-blue");
  test.Send(2, kWrite, "WRITE a");
  test.AnswerAll();
  EXPECT_EQ(test.LastAnswer(2).code, result_code::kOk);
}

// Guards against a transaction that keeps its member after a configuration
// version that no longer allows it, and against its commit.
TEST(PlacementTest, TransactionFailsAsNotCommittedWhenItsMemberIsForbidden) {
  for (const statement_kind next : {kWrite, kCommit}) {
    placement_harness test;
    test.Open(1, "strict");
    test.Send(1, kBegin);
    test.Send(1, kWrite, "WRITE a");
    test.AnswerAll();
    ASSERT_EQ(test.LastAnswer(1).code, result_code::kOk);
    test.RestrictOrganisation("red", {"east"});
    test.Send(1, next, "WRITE b");
    EXPECT_EQ(test.LastAnswer(1).code, result_code::kTransactionAborted);
    EXPECT_TRUE(test.links().empty());
    EXPECT_EQ(test.broker().metrics().placement_refused.at(
                  placement_refusal::kTransaction),
              1U);
  }
}

// Guards against a statement that is sent after a change of the regions that
// came between the begin at the member and its answer. A commit is not in
// doubt, since it was not sent.
TEST(PlacementTest, RegionsThatChangeDuringTheBeginApply) {
  for (const statement_kind first : {kWrite, kCommit}) {
    placement_harness test;
    test.Open(1, "strict");
    test.Send(1, kBegin);
    test.Send(1, first, "WRITE a");
    const link_id on = test.PendingLink("p");
    ASSERT_NE(on, 0U);
    test.Restrict("strict", {"east"});
    test.Answer(on);
    EXPECT_EQ(test.LastAnswer(1).code, result_code::kTransactionAborted);
    EXPECT_TRUE(test.links().empty());
  }
}

// Guards against a waiting statement that was accepted under the former
// version, and against one that waits on for a link to the forbidden member.
TEST(PlacementTest, WaitingStatementFollowsTheNewVersion) {
  placement_harness test;
  test.configuration().groups["g"].connections = 1;
  test.Publish();
  test.ObservePosition();
  test.Open(1, "strict");
  test.Send(1, kWrite, "WRITE a");
  ASSERT_EQ(test.SentTo("p"), 1U);
  test.Open(2, "strict", "key-blue");
  test.Send(2, kWrite, "WRITE b");
  test.Restrict("strict", {"east"});
  EXPECT_EQ(test.LastAnswer(2).code, result_code::kDatabaseUnavailable);
  EXPECT_EQ(test.SentTo("p"), 1U);
}

// The order host before entry: the host's own version is the newer one.
TEST(PlacementTest, HostedSessionKeepsToTheHostsRegions) {
  placement_harness test;
  test.RestrictOrganisation("red", {"east"});
  test.Step(session_hosted{7, "strict", "red", {}, {}, {}, {}, {}});
  test.Send(7, kWrite, "WRITE a");
  EXPECT_EQ(test.LastAnswer(7).code, result_code::kDatabaseUnavailable);
  EXPECT_TRUE(test.links().empty());
}

// The order entry before host: the host's version knows no regions yet, and
// the ones that the entry VM sent bind.
TEST(PlacementTest, HostedSessionKeepsToTheEntryVmsRegions) {
  for (const bool of_route : {false, true}) {
    placement_harness test;
    session_hosted hosted{7, "strict", "red", {}, {}, {}, {}, {}};
    (of_route ? hosted.route_regions : hosted.organisation_regions) = {"east"};
    test.Step(hosted);
    test.Send(7, kWrite, "WRITE a");
    EXPECT_EQ(test.LastAnswer(7).code, result_code::kDatabaseUnavailable);
    EXPECT_TRUE(test.links().empty());
  }
}

// Guards against a route that is removed, with its regions, while a transaction
// of it is open.
TEST(PlacementTest, RemovedRouteKeepsItsRegionsForTheTransaction) {
  placement_harness test;
  test.Restrict("strict", {"r"});
  test.Open(1, "strict");
  test.Send(1, kBegin);
  test.configuration().routes.erase("strict");
  test.Publish();
  test.GrantRight("r1", 2);
  test.Send(1, kWrite, "WRITE a");
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kDatabaseUnavailable);
  EXPECT_EQ(test.SentTo("r1"), 0U);
}

}  // namespace
}  // namespace tarragondale::interactive
