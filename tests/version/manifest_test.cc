#include "src/version/manifest.h"

#include <set>
#include <string>

#include "CppUTest/TestHarness.h"
#include "src/version/chunk_goal.h"
#include "src/version/weight_index.h"

namespace celerypost {
namespace {

const std::set<ZoneName> kZones = {ZoneName("arusha-a"), ZoneName("dar-a")};

std::string Hex(char digit) {
  return std::string(64, digit);
}

std::string Document() {
  return R"({"format":1,"name":"2026-12-04.1","services":[
    {"name":"summary-llm","kind":"engine","zones":["arusha-a","dar-a"],
     "limits":{"cold":2,"full":32,"warm_up_ms":4000,"min_serving":10},
     "set":{"version":"v7","artefacts":[
       {"name":"base","kind":"model","digest":")" +
         Hex('a') + R"(","size":1048576,"index":")" + Hex('b') + R"("}]}},
    {"name":"waiver-ledger","kind":"plain","zones":["dar-a"],
     "limits":{"cold":4,"full":64,"warm_up_ms":1000,"min_serving":2}}]})";
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = Document();
  const size_t at = text.find(from);
  CHECK_TRUE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

void CheckError(const std::string& document, const std::string& expected) {
  const auto manifest = Manifest::Parse(document, kZones);
  CHECK_FALSE(manifest.has_value());
  CHECK(manifest.error().code == ErrorCode::kInvalidArgument);
  if (manifest.error().message.find(expected) == std::string::npos) {
    FAIL((manifest.error().message + " lacks " + expected).c_str());
  }
}

TEST_GROUP(ManifestTest){};

// Guards against a field that is lost between the pipeline and the agents.
TEST(ManifestTest, ReadsAndWritesEveryField) {
  const auto manifest = Manifest::Parse(Document(), kZones);
  CHECK_TRUE(manifest.has_value());
  const ManifestService* service = manifest->Find(ServiceName("summary-llm"));
  CHECK(service != nullptr);
  LONGS_EQUAL(10, service->limits.min_serving);
  CHECK(service->set->artefacts[0].digest.ToHex() == Hex('a'));
  CHECK(manifest->Find(ServiceName("other")) == nullptr);
  const auto again = Manifest::Parse(manifest->ToJson(), kZones);
  CHECK_TRUE(again.has_value());
  CHECK(*again == *manifest);
}

// Guards against two processes that compute different digests of one set.
TEST(ManifestTest, SetDigestFollowsTheDefinition) {
  const auto manifest = Manifest::Parse(Document(), kZones);
  const Digest expected = Digest::Of("v7\nbase\nmodel\n" + Hex('a') + "\n");
  CHECK(manifest->services[0].set->SetDigest() == expected);
}

// Guards against invalid input that is applied in part or whose error does not
// say what to correct.
TEST(ManifestTest, ErrorsNameFieldValueAndRange) {
  CheckError("{", "not valid JSON");
  CheckError("[]", "accepted: a JSON object");
  CheckError(Replaced("\"format\":1", "\"format\":2"),
             "field format is 2; accepted: an integer from 1 to 1");
  CheckError(Replaced("\"dar-a\"]", "\"lodwar-a\"]"),
             "field services[0].zones is a list with \"lodwar-a\"; accepted: "
             "known zones, each once (arusha-a, dar-a)");
  CheckError(Replaced("\"dar-a\"]", "\"arusha-a\"]"), "services[0].zones");
  CheckError(Replaced("\"full\":32", "\"full\":1"),
             "field services[0].limits.full is 1; accepted: an integer from 2");
  CheckError(Replaced("\"cold\":2", "\"cold\":-2"), "limits.cold is -2");
  CheckError(Replaced(Hex('b'), "b"), "set.artefacts[0].index is \"b\"");
  CheckError(Replaced("\"model\"", "\"adapter\""), "0 models");
  CheckError(Replaced("waiver-ledger", "summary-llm"), "a second time");
  CheckError(Replaced("\"engine\"", "\"plain\""), "services[0].set is present");
  CheckError(Replaced("\"warm_up_ms\":4000,", ""), "warm_up_ms is missing");
}

TEST_GROUP(WeightIndexTest) {
  Artefact artefact{"base", ArtefactKind::kModel, {}, 10, {}};
  Result<WeightIndex> Parse(const std::string& text) {
    this->artefact.index = Digest::Of(text);
    return WeightIndex::Parse(text, this->artefact);
  }
};

// Guards against chunk boundaries that differ between fetch and assembly.
TEST(WeightIndexTest, GivesOffsetsAndLengths) {
  const auto index =
      Parse(R"({"size":10,"chunk_size":4,"chunks":[")" + Hex('1') + "\",\"" +
            Hex('2') + "\",\"" + Hex('3') + "\"]}");
  CHECK_TRUE(index.has_value());
  LONGS_EQUAL(8, index->Offset(2));
  LONGS_EQUAL(2, index->Length(2));
}

// Guards against an index document that is corrupt, has an invalid chunk size
// or does not match its artefact.
TEST(WeightIndexTest, RejectsCorruptAndMismatchedDocuments) {
  const std::string chunks = R"("chunks":[")" + Hex('1') + "\"]}";
  CHECK_FALSE(Parse("{\"size\":10,\"chunk_size\":4," + chunks).has_value());
  CHECK_FALSE(Parse("{\"size\":9,\"chunk_size\":10," + chunks).has_value());
  CHECK_FALSE(Parse("{\"size\":10,\"chunk_size\":0," + chunks).has_value());
  CHECK_TRUE(Parse("{\"size\":10,\"chunk_size\":10," + chunks).has_value());
  const auto damaged = WeightIndex::Parse(
      "{\"size\":10,\"chunk_size\":11," + chunks, this->artefact);
  CHECK(damaged.error().code == ErrorCode::kCorrupt);
}

// Guards against peers that assign bitmap positions differently.
TEST(WeightIndexTest, GoalListsIndexDocumentsFirstAndDigestsOnce) {
  WeightSet set{"v1", {this->artefact, this->artefact}};
  set.artefacts[0].index = Digest::Of("index 1");
  set.artefacts[1].index = Digest::Of("index 2");
  WeightIndex first{10, 5, {Digest::Of("a"), Digest::Of("b")}};
  WeightIndex second{10, 5, {Digest::Of("b"), Digest::Of("c")}};
  CHECK_FALSE(MakeChunkGoal(set, {first, std::nullopt}).all_chunks_listed);
  LONGS_EQUAL(2, MakeChunkGoal(set, {first, std::nullopt}).chunks.size());
  const ChunkGoal goal = MakeChunkGoal(set, {first, second});
  CHECK_TRUE(goal.all_chunks_listed);
  LONGS_EQUAL(5, goal.chunks.size());
  CHECK(goal.chunks[4].digest == Digest::Of("c"));
  std::string bitmap;
  SetBit(bitmap, 9);
  CHECK_TRUE(TestBit(bitmap, 9));
  CHECK_FALSE(TestBit(bitmap, 8));
  CHECK_FALSE(TestBit(bitmap, 900));
}

}  // namespace
}  // namespace celerypost
