#include "src/version/bounded_json.h"

#include <string>

#include "src/version/json_fields.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

std::string Nested(size_t depth) {
  std::string text;
  for (size_t i = 0; i < depth; ++i) {
    text += i % 2 == 0 ? R"({"a":)" : "[";
  }
  text += "1";
  for (size_t i = depth; i > 0; --i) {
    text += i % 2 == 1 ? "}" : "]";
  }
  return text;
}

TEST_GROUP(BoundedJsonTest){};

TEST(BoundedJsonTest, ParsesUpToTheDepthAndNoDeeper) {
  CHECK_EQUAL(Nested(kMaxJsonDepth),
              ParseBoundedJson(Nested(kMaxJsonDepth)).dump());
  CHECK_TRUE(ParseBoundedJson(Nested(kMaxJsonDepth + 1)).is_discarded());
  CHECK_TRUE(
      ParseBoundedJson<nlohmann::ordered_json>(Nested(500'000)).is_discarded());
}

// Guards against a depth that is counted differently by the parser: brackets in
// strings and comments are text.
TEST(BoundedJsonTest, CountsOnlyBracketsThatOpenAValue) {
  const std::string brackets(100, '[');
  CHECK_TRUE(ParseBoundedJson("[\"\\\\\\\"" + brackets + "\"]").is_array());
  CHECK_TRUE(ParseBoundedJson("[1] // \"" + brackets, true).is_array());
  CHECK_TRUE(
      ParseBoundedJson("/* \" */[1]/*" + brackets + "*/", true).is_array());
  CHECK_TRUE(
      JsonNestsDeeperThan("// \"\r" + brackets + "\n/* \" */", kMaxJsonDepth));
  CHECK_TRUE(JsonNestsDeeperThan("/* \" */" + brackets, kMaxJsonDepth));
  CHECK_TRUE(JsonNestsDeeperThan("[\"\\\\\"," + brackets, kMaxJsonDepth));
}

TEST(BoundedJsonTest, EndsAtAnyTruncation) {
  const std::string text = "{\"a\\\"\":[\"\\u00e9\\\\\"] /* b */, \"c\": 1}";
  for (size_t length = 0; length <= text.size(); ++length) {
    CHECK_FALSE(JsonNestsDeeperThan(text.substr(0, length), 2));
    CHECK_EQUAL(length == text.size(),
                ParseBoundedJson(text.substr(0, length), true).is_object());
  }
}

// Guards against error texts as long as the value that they are about.
TEST(BoundedJsonTest, DescribesALargeValueInAShortError) {
  for (const std::string& text :
       {"\"" + std::string(1 << 20, 'a') + "\"",
        "[" + std::string(1 << 19, '1') + "]", Nested(30'000)}) {
    const auto document = ParseJson(text, "entry");
    CHECK_FALSE(document.has_value());
    CHECK_TRUE(document.error().message.size() < 200);
  }
}

}  // namespace
}  // namespace celerypost
