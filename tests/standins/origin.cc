#include "tests/standins/origin.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace celerypost::standins {

namespace {

constexpr std::string_view kArtefacts = "/artefacts/";
constexpr std::string_view kObjects = "/objects/";

// Parses "bytes=a-b" for a content of `size` bytes; false when it is not
// satisfiable.
bool ParseRange(std::string_view text,
                uint64_t size,
                uint64_t* first,
                uint64_t* last) {
  if (!text.starts_with("bytes=")) {
    return false;
  }
  text.remove_prefix(6);
  const char* end = text.data() + text.size();
  const auto from = std::from_chars(text.data(), end, *first);
  if (from.ec != std::errc() || from.ptr == end || *from.ptr != '-') {
    return false;
  }
  *last = size - 1;
  if (from.ptr + 1 != end &&
      std::from_chars(from.ptr + 1, end, *last).ec != std::errc()) {
    return false;
  }
  *last = std::min(*last, size - 1);
  return *first <= *last;
}

}  // namespace

Origin::Origin(Loop& loop, Json settings)
    : StandIn(loop, std::move(settings)) {}

bool Origin::Chance(int64_t percent) {
  return static_cast<int64_t>(this->random() % 100) < percent;
}

void Origin::Refuse(HttpResponder& responder, int64_t wait_ms) {
  ++this->refused;
  const int64_t seconds = std::max<int64_t>(1, (wait_ms + 999) / 1000);
  responder.Send(429, {{"retry-after", std::to_string(seconds)}}, "");
}

void Origin::Handle(HttpRequest request,
                    std::shared_ptr<HttpResponder> responder) {
  this->CountNewWork();
  ++this->requests;
  if (this->refuse > 0) {
    --this->refuse;
    this->Refuse(*responder, 0);
    return;
  }
  const std::string path(PathWithoutQuery(request.path));
  const std::string region(FindHeader(request.headers, "celerypost-region"));
  if (path.starts_with(kObjects)) {
    const auto object = this->objects.find(path.substr(kObjects.size()));
    if (object != this->objects.end()) {
      this->SendPaced(200, object->second, region, responder);
      return;
    }
  } else if (path.starts_with(kArtefacts)) {
    const auto found = this->artefacts.find(path.substr(kArtefacts.size()));
    if (found != this->artefacts.end()) {
      const std::string& content = found->second->bytes();
      const std::string_view range = FindHeader(request.headers, "range");
      uint64_t first = 0;
      uint64_t last = content.size() - 1;
      if (!range.empty() && !ParseRange(range, content.size(), &first, &last)) {
        responder->Send(416, {}, "");
        return;
      }
      this->SendPaced(range.empty() ? 200 : 206,
                      content.substr(first, last - first + 1), region,
                      responder);
      return;
    }
  }
  responder->SendJson(404, R"({"error": "no such artefact or object"})");
}

void Origin::SendPaced(int status,
                       std::string body,
                       const std::string& region,
                       const std::shared_ptr<HttpResponder>& responder) {
  const auto now = static_cast<double>(MonotonicMs());
  double wait = 0;
  if (this->mbit > 0) {
    const double transfer_ms =
        static_cast<double>(body.size()) * 8 / (this->mbit * 1000);
    const double start = std::max(now, this->link_free_ms);
    if (start - now > static_cast<double>(this->max_wait_ms)) {
      this->Refuse(*responder, static_cast<int64_t>(start - now));
      return;
    }
    this->link_free_ms = start + transfer_ms;
    wait = this->link_free_ms - now;
  }
  this->bytes += body.size();
  this->bytes_by_region[region] += body.size();
  if (status == 206 && this->Chance(this->corrupt_percent)) {
    ++this->corrupted;
    body[this->random() % body.size()] ^= 1;
  }
  if (status == 206 && this->Chance(this->truncate_percent)) {
    ++this->corrupted;
    body.resize(body.size() / 2);
  }
  this->After(std::chrono::milliseconds(static_cast<int64_t>(wait)),
              [status, responder, body = std::move(body)] {
                responder->Send(status,
                                {{"content-type", "application/octet-stream"}},
                                body);
              });
}

Json Origin::Control(const Json& command) {
  this->mbit = command.value("mbit", this->mbit);
  this->max_wait_ms = command.value("max_wait_ms", this->max_wait_ms);
  this->corrupt_percent =
      command.value("corrupt_percent", this->corrupt_percent);
  this->truncate_percent =
      command.value("truncate_percent", this->truncate_percent);
  this->refuse = command.value("refuse", this->refuse);
  if (!command.contains("add")) {
    return Json::object();
  }
  const Json& add = command["add"];
  ArtefactOptions options;
  options.size = add.value("size", options.size);
  options.chunk_size = add.value("chunk_size", options.chunk_size);
  options.seed = add.value("seed", options.seed);
  options.shared_seed = add.value("shared_seed", options.shared_seed);
  options.shared_percent = add.value("shared_percent", options.shared_percent);
  auto artefact = std::make_unique<Artefact>(options);
  const Json answer = {{"digest", artefact->digest()},
                       {"index", artefact->index_digest()},
                       {"size", options.size}};
  this->objects[artefact->index_digest()] = artefact->index();
  this->artefacts[artefact->digest()] = std::move(artefact);
  return answer;
}

Json Origin::Figures() const {
  Json figures = {{"requests", this->requests},
                  {"refused", this->refused},
                  {"corrupted", this->corrupted},
                  {"bytes", this->bytes}};
  for (const auto& [region, count] : this->bytes_by_region) {
    figures["bytes_" + region] = count;
  }
  return figures;
}

}  // namespace celerypost::standins
