#include "src/version/fetch_roles.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(FetchRolesTest){
    static std::vector<FetchMember> Members(size_t count, size_t regions){
        std::vector<FetchMember> members;
for (size_t i = 0; i < count; ++i) {
  members.push_back(
      {InstanceId{i + 1}, RegionName("region-" + std::to_string(i % regions))});
}
return members;
}  // namespace
};  // namespace celerypost

// Guards against chunk announcements between regions that grow with the square
// of the stagers: with 138 stagers each, announcing took a fifth of every VM's
// link. Whatever the number of stagers, few in each region have to be told.
TEST(FetchRolesTest, FewStagersOfARegionNeedFarNews) {
  constexpr size_t kRegions = 5;
  for (const size_t count : {14, 52, 138, 310, 1000}) {
    const FetchRoles roles =
        AssignFetchRoles({}, Digest::Of("m/2"), Members(count, kRegions));
    size_t told = 0;
    for (size_t i = 0; i < count; ++i) {
      told += roles.NeedsFarNews(InstanceId{i + 1}) ? 1 : 0;
    }
    CHECK_TRUE(told <= kRegions * FetchRoleOptions{}.importers +
                           FetchRoleOptions{}.origin_fetchers);
  }
}

// Guards against a region in which nobody fetches from other regions, and
// against roles that always fall to the same VMs.
TEST(FetchRolesTest, EachRegionHasImportersThatDifferFromSetToSet) {
  const auto members = Members(138, 5);
  const FetchRoles roles = AssignFetchRoles({}, Digest::Of("m/2"), members);
  for (size_t region = 0; region < 5; ++region) {
    uint32_t importers = 0;
    for (size_t i = region; i < members.size(); i += 5) {
      importers += roles.importers.contains(InstanceId{i + 1}) ? 1 : 0;
    }
    CHECK_EQUAL(FetchRoleOptions{}.importers, importers);
  }
  const FetchRoles next = AssignFetchRoles({}, Digest::Of("m/3"), members);
  CHECK_FALSE(roles.importers == next.importers);
}

}  // namespace
}  // namespace celerypost
