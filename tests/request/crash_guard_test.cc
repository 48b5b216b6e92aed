#include "src/request/crash_guard.h"

#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr PartHash kDeadly = 1;
constexpr PartHash kShared = 2;
constexpr PartHash kOther = 3;
constexpr size_t kGateways = 4;

// Gateways of one region that exchange news every 100 ms.
TEST_GROUP(CrashGuardTest) {
  TimePoint now{milliseconds(1000000)};
  std::vector<std::unique_ptr<CrashGuard>> guards;

  void setup() override {
    std::vector<std::string> names;
    for (size_t i = 0; i < kGateways; ++i) {
      names.push_back("gateway-" + std::to_string(i));
    }
    for (const std::string& name : names) {
      this->guards.push_back(this->MakeGuard(name));
      this->guards.back()->SetGateways(names);
    }
  }
  void teardown() override {
    this->guards.clear();
  }

  static std::unique_ptr<CrashGuard> MakeGuard(const std::string& name) {
    return std::make_unique<CrashGuard>(CrashGuardOptions{}, name,
                                        [](const QuarantineRecord&, size_t) {});
  }
  // Requests with the part `kOther` survive at every gateway.
  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      this->now += milliseconds(100);
      for (const auto& guard : this->guards) {
        guard->OnSurvived({kOther}, this->now);
        guard->OnSurvived({}, this->now);
        guard->Judge(this->now);
      }
      this->Exchange();
    }
  }
  void Exchange() {
    for (const auto& sender : this->guards) {
      const CrashNews news = sender->TakeNews(NewsScope::kRegion, this->now);
      for (const auto& receiver : this->guards) {
        if (receiver != sender) {
          receiver->OnNews(news, NewsScope::kRegion, this->now);
        }
      }
    }
  }
  size_t CountSenders(const std::vector<PartHash>& parts) {
    size_t senders = 0;
    for (const auto& guard : this->guards) {
      senders += guard->MaySend(parts, this->now) ? 1 : 0;
    }
    return senders;
  }
  // Each crash is seen by another gateway.
  void Crash(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      this->guards[i % kGateways]->OnBroken({kShared, kDeadly}, 10 + i,
                                            this->now);
      this->Run(milliseconds(200));
      this->guards[(i + 1) % kGateways]->OnSurvived({kShared}, this->now);
    }
  }
};

// Guards against crashes that no single gateway sees often enough to act.
TEST(CrashGuardTest, AllGatewaysStopSendingWhatCrashedTargetsOfSeveral) {
  this->Run(milliseconds(5000));
  CHECK_EQUAL(kGateways, this->CountSenders({kShared, kDeadly}));
  this->Crash(3);
  this->Run(milliseconds(500));
  CHECK_EQUAL(0u, this->CountSenders({kShared, kDeadly}));
  CHECK_EQUAL(kGateways, this->CountSenders({kShared, kOther}));
}

// Guards against a restarted gateway that sends what the others do not.
TEST(CrashGuardTest, AGatewayThatStartsLaterLearnsTheQuarantines) {
  this->Run(milliseconds(5000));
  this->Crash(3);
  this->Run(milliseconds(6000));
  this->guards.push_back(MakeGuard("gateway-9"));
  this->Run(milliseconds(1100));
  CHECK_EQUAL(0u, this->CountSenders({kDeadly}));
}

// Guards against a request that is repeated at one target after the other until
// enough have crashed.
TEST(CrashGuardTest, DoesNotRepeatARequestWhosePartTwoCrashesAccuse) {
  this->Run(milliseconds(5000));
  this->guards[0]->OnBroken({kDeadly}, 1, this->now);
  CHECK_TRUE(this->guards[0]->MayRepeat({kDeadly}, this->now));
  this->guards[1]->OnBroken({kDeadly}, 2, this->now);
  this->Exchange();
  CHECK_FALSE(this->guards[0]->MayRepeat({kDeadly}, this->now));
  CHECK_TRUE(this->guards[0]->MayRepeat({kOther}, this->now));
}

// Guards against a fleet in which every gateway probes a quarantined part.
TEST(CrashGuardTest, OneGatewayProbesAndItsResultHoldsForAll) {
  this->Run(milliseconds(5000));
  this->Crash(3);
  this->Run(milliseconds(500));
  this->now += QuarantineOptions{}.first_period;
  CHECK_EQUAL(1u, this->CountSenders({kDeadly}));
  CHECK_EQUAL(0u, this->CountSenders({kDeadly}));
  for (const auto& guard : this->guards) {
    guard->OnBroken({kDeadly}, 90, this->now);
  }
  this->Run(milliseconds(300));
  this->now += QuarantineOptions{}.first_period;
  CHECK_EQUAL(0u, this->CountSenders({kDeadly}));
  this->now += QuarantineOptions{}.first_period;
  CHECK_EQUAL(1u, this->CountSenders({kDeadly}));
  this->Run(milliseconds(300));
  this->guards[2]->OnSurvived({kDeadly}, this->now);
  this->Run(milliseconds(300));
  CHECK_EQUAL(kGateways, this->CountSenders({kDeadly}));
}

// Guards against messages that grow with the number of parts and crashes.
TEST(CrashGuardTest, ItemsOfAMessageAreBoundedAndSentAFewTimes) {
  const CrashGuardOptions options;
  for (PartHash part = 100; part < 5100; ++part) {
    this->guards[0]->OnBroken({part}, part, this->now);
  }
  size_t sent = 0;
  for (int i = 0; i < 200; ++i) {
    this->now += milliseconds(10);
    const CrashNews news =
        this->guards[0]->TakeNews(NewsScope::kRegion, this->now);
    CHECK_TRUE(news.accusations.size() <= options.max_items);
    CHECK_TRUE(news.quarantines.size() <= options.quarantine.max_parts);
    sent += news.accusations.size();
  }
  CHECK_TRUE(sent > 0 && sent <= 1024 * options.copies);
  this->now += options.news_lifetime;
  this->guards[0]->TakeNews(NewsScope::kRegion, this->now);
  CHECK_TRUE(this->guards[0]
                 ->TakeNews(NewsScope::kOtherRegions, this->now)
                 .accusations.empty());
}

// Guards against news that circulate: what came from a scope is not sent back.
TEST(CrashGuardTest, NewsOfOtherRegionsGoToTheOwnRegionOnly) {
  CrashNews news;
  news.accusations.push_back({{kDeadly, 5}, milliseconds(10)});
  this->guards[0]->OnNews(news, NewsScope::kOtherRegions, this->now);
  CHECK_EQUAL(1u, this->guards[0]
                      ->TakeNews(NewsScope::kRegion, this->now)
                      .accusations.size());
  CHECK_TRUE(this->guards[0]
                 ->TakeNews(NewsScope::kOtherRegions, this->now)
                 .accusations.empty());
}

// Guards against an accusation that is lost among requests which broke once.
TEST(CrashGuardTest, RequestsThatBrokeOnceDoNotEvictANewerAccusation) {
  const CrashGuardOptions options = WholeRequestGuardOptions();
  CrashGuard guard(options, "gateway", [](const QuarantineRecord&, size_t) {});
  for (size_t i = 0; i < options.evidence.max_suspects; ++i) {
    guard.OnBroken({100 + i}, 1, this->now);
  }
  this->now += milliseconds(1000);
  guard.OnBroken({kDeadly}, 2, this->now);
  guard.OnBroken({kShared}, 3, this->now);
  guard.OnBroken({kDeadly}, 4, this->now);
  CHECK_FALSE(guard.MayRepeat({kDeadly}, this->now));
}

// Guards against news of every request that was in progress at a target.
TEST(CrashGuardTest, TellsNothingOfARequestThatSurvivesItsRepeat) {
  const CrashGuardOptions options = WholeRequestGuardOptions();
  CrashGuard guard(options, "gateway", [](const QuarantineRecord&, size_t) {});
  guard.OnBroken({kDeadly, kShared}, 1, this->now);
  CHECK_TRUE(guard.TakeNews(NewsScope::kRegion, this->now).empty());
  guard.OnSurvived({kShared}, this->now + milliseconds(100));
  this->now += options.first_crash_news_delay;
  const CrashNews news = guard.TakeNews(NewsScope::kRegion, this->now);
  CHECK_EQUAL(1u, news.accusations.size());
  CHECK_EQUAL(kDeadly, news.accusations[0].accusation.part);
}

// Guards against parts that are blamed for what a whole request has done.
TEST(CrashGuardTest, CrashesOfAQuarantinedRequestAccuseNoPart) {
  const auto ignore = [](const QuarantineRecord&, size_t) {};
  CrashGuard requests(WholeRequestGuardOptions(), "gateway", ignore);
  CrashGuard parts({}, "gateway", ignore);
  CrashGuard parts_alone({}, "gateway", ignore);
  const auto serve = [&](milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      this->now += milliseconds(100);
      for (CrashGuard* const guard : {&requests, &parts, &parts_alone}) {
        guard->OnSurvived({}, this->now);
      }
    }
  };
  serve(milliseconds(5000));
  for (size_t i = 0; i < 3; ++i) {
    requests.OnBroken({kDeadly}, 10 + i, this->now);
    parts.OnBroken({kShared}, 10 + i, this->now);
    parts_alone.OnBroken({kShared}, 10 + i, this->now);
    serve(milliseconds(400));
  }
  requests.Judge(this->now);
  parts.TakeExplanations(requests);
  parts.Judge(this->now);
  parts_alone.Judge(this->now);
  CHECK_FALSE(requests.MaySend({kDeadly}, this->now));
  CHECK_TRUE(parts.MaySend({kShared}, this->now));
  CHECK_FALSE(parts_alone.MaySend({kShared}, this->now));
}

}  // namespace
}  // namespace celerypost
