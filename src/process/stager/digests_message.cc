#include "src/process/stager/digests_message.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "src/version/json_fields.h"

namespace celerypost {

using Json = nlohmann::json;

std::string EncodeDigests(const ChunkDigests& digests) {
  Json list = Json::array();
  for (const Digest& digest : digests.digests) {
    list.push_back(digest.ToHex());
  }
  return Json{{"digests", std::move(list)}}.dump();
}

Result<ChunkDigests> DecodeDigests(const std::string& model,
                                   int64_t version,
                                   const Result<HttpResponse>& response) {
  if (!response) {
    return tl::unexpected<Failure>(response.error());
  }
  if (response->status != 200) {
    return NotRun(ErrorCode::kNotFound, "the peer does not have the digests");
  }
  const auto json = ParseJson(response->body, "digests");
  if (!json) {
    return tl::unexpected<Failure>(json.error());
  }
  const auto list = json->find("digests");
  if (list == json->end() || !list->is_array()) {
    return NotRun(ErrorCode::kCorrupt,
                  "a peer's response has no array \"digests\"");
  }
  ChunkDigests digests{model, version, {}};
  for (const Json& item : *list) {
    const auto digest =
        item.is_string() ? Digest::FromHex(item.get_ref<const std::string&>())
                         : std::nullopt;
    if (!digest) {
      return NotRun(ErrorCode::kCorrupt,
                    "a peer's digest is not a valid hex string");
    }
    digests.digests.push_back(*digest);
  }
  if (digests.digests.empty()) {
    return NotRun(ErrorCode::kCorrupt, "a peer's list of digests is empty");
  }
  return digests;
}

}  // namespace celerypost
