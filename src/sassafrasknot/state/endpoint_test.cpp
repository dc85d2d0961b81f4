#include "sassafrasknot/state/endpoint.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::state {
namespace {

// Guards against an endpoint in a setting or document that is parsed as a
// different one.
RC_GTEST_PROP(Endpoint,
              ParsesFormattedEndpoint,
              (std::uint32_t aAddress, std::uint16_t aPort))
{
  RC_PRE(aPort != 0);
  const Endpoint endpoint{ { aAddress }, aPort };
  const auto parsed = ParseEndpoint(ToString(endpoint));
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(parsed.value() == endpoint);
}

// Guards against missing parts, trailing text and invalid ports that are
// accepted without an error.
TEST(Endpoint, RefusesMalformedText)
{
  for (const auto* text : { "",
                            ":",
                            "1.2.3.4",
                            "1.2.3.4:",
                            "1.2.3.4:0",
                            "1.2.3.4:65536",
                            "1.2.3.4:80x",
                            "1.2.3:80" }) {
    EXPECT_FALSE(ParseEndpoint(text).has_value()) << text;
  }
}

} // namespace
} // namespace sassafrasknot::state
