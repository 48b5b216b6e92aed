#include "src/process/gateway/crash_news_wire.h"

#include <algorithm>
#include <limits>

namespace celerypost {

namespace {

using std::chrono::milliseconds;

int32_t EncodeTime(milliseconds time) {
  return static_cast<int32_t>(std::clamp<int64_t>(
      time.count(), 0, std::numeric_limits<int32_t>::max()));
}

milliseconds DecodeTime(int32_t time) {
  return milliseconds(std::max(0, time));
}

}  // namespace

wire::CrashNews EncodeCrashNews(const CrashNews& news) {
  wire::CrashNews message;
  for (const auto& [accusation, age] : news.accusations) {
    wire::CrashAccusation entry;
    entry.part = static_cast<int64_t>(accusation.part);
    entry.target_start = static_cast<int64_t>(accusation.target_start);
    entry.age_ms = EncodeTime(age);
    message.accusations.push_back(entry);
  }
  for (const auto& [part, age, relayed] : news.survivals) {
    wire::PartSurvival entry;
    entry.part = static_cast<int64_t>(part);
    entry.age_ms = EncodeTime(age);
    entry.relayed = relayed;
    message.survivals.push_back(entry);
  }
  for (const QuarantineRecord& record : news.quarantines) {
    wire::PartQuarantine entry;
    entry.part = static_cast<int64_t>(record.part);
    entry.round = static_cast<int32_t>(record.round);
    entry.lifted = record.lifted;
    entry.left_ms = EncodeTime(record.left);
    message.quarantines.push_back(entry);
  }
  return message;
}

void SetCrashNews(const CrashNews& parts,
                  const CrashNews& requests,
                  wire::Beat& beat) {
  if (!parts.empty()) {
    beat.__set_crash_news(EncodeCrashNews(parts));
  }
  if (!requests.empty()) {
    beat.__set_request_crash_news(EncodeCrashNews(requests));
  }
}

CrashNews DecodeCrashNews(const wire::CrashNews& message) {
  CrashNews news;
  for (const wire::CrashAccusation& entry : message.accusations) {
    news.accusations.push_back(
        {{static_cast<PartHash>(entry.part),
          static_cast<TargetStartHash>(entry.target_start)},
         DecodeTime(entry.age_ms)});
  }
  for (const wire::PartSurvival& entry : message.survivals) {
    news.survivals.push_back({static_cast<PartHash>(entry.part),
                              DecodeTime(entry.age_ms), entry.relayed});
  }
  for (const wire::PartQuarantine& entry : message.quarantines) {
    news.quarantines.push_back({static_cast<PartHash>(entry.part),
                                static_cast<uint32_t>(std::max(0, entry.round)),
                                entry.lifted, DecodeTime(entry.left_ms)});
  }
  return news;
}

}  // namespace celerypost
