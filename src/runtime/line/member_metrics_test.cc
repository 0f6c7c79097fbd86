// Tests of the metrics of single members.
#include "src/runtime/line/member_metrics.h"

#include <gtest/gtest.h>

namespace tarragondale::runtime {
namespace {

// Guards against text that a scraper can't read.
TEST(MemberMetricsTest, EachMemberHasALimitAndAResponseTime) {
  EXPECT_EQ(MemberMetricsText({}), "");
  const std::string text =
      MemberMetricsText({{"a\"1", 2.25, milliseconds(15)}});
  EXPECT_NE(text.find("tarragondale_member_limit{member=\"a\\\"1\"} 2.2\n"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("tarragondale_member_response_seconds{member=\"a\\\"1\"} "
                      "0.0150\n"),
            std::string::npos)
      << text;
}

}  // namespace
}  // namespace tarragondale::runtime
