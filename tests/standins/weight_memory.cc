#include "tests/standins/weight_memory.h"

#include <utility>

#include "tests/standins/encoding.h"

namespace celerypost::standins {

std::string SetDigest(const std::string& version, const Json& artefacts) {
  std::string text = version + "\n";
  for (const Json& artefact : artefacts) {
    for (const char* field : {"name", "kind", "digest"}) {
      text += artefact.at(field).get<std::string>() + "\n";
    }
  }
  return Sha256Hex(text);
}

std::string WeightMemory::PutChunk(const std::string& digest,
                                   std::string bytes) {
  if (this->verify && Sha256Hex(bytes) != digest) {
    return "the bytes do not have the digest " + digest;
  }
  this->chunks[digest] = std::move(bytes);
  return "";
}

const std::string* WeightMemory::FindChunk(const std::string& digest) const {
  const auto it = this->chunks.find(digest);
  return it == this->chunks.end() ? nullptr : &it->second;
}

std::string WeightMemory::Load(const Json& order) {
  const std::string wanted = order.at("set").get<std::string>();
  WeightSet loaded;
  loaded.version = order.at("version").get<std::string>();
  Json held = order.at("artefacts");
  for (Json& artefact : held) {
    std::string bytes;
    for (const Json& chunk : artefact.at("chunks")) {
      if (const auto* found = this->FindChunk(chunk.get<std::string>())) {
        bytes += *found;
      } else if (this->verify) {
        return "chunk " + chunk.get<std::string>() + " is not in memory";
      }
    }
    artefact["digest"] = Sha256Hex(bytes);
    loaded.bytes[artefact.at("name").get<std::string>()] = std::move(bytes);
  }
  loaded.held_digest = SetDigest(loaded.version, held);
  if (this->verify && loaded.held_digest != wanted) {
    return "the bytes in memory are the set " + loaded.held_digest + ", not " +
           wanted;
  }
  this->sets[wanted] = std::move(loaded);
  return "";
}

const WeightMemory::WeightSet* WeightMemory::FindSet(
    const std::string& digest) const {
  const auto it = this->sets.find(digest);
  return it == this->sets.end() ? nullptr : &it->second;
}

Json WeightMemory::Loaded() const {
  Json digests = Json::array();
  for (const auto& [digest, set] : this->sets) {
    digests.push_back(digest);
  }
  return digests;
}

void WeightMemory::Clear() {
  this->chunks.clear();
  this->sets.clear();
}

uint64_t WeightMemory::BytesHeld() const {
  uint64_t total = 0;
  for (const auto& [digest, bytes] : this->chunks) {
    total += bytes.size();
  }
  for (const auto& [digest, set] : this->sets) {
    for (const auto& [name, bytes] : set.bytes) {
      total += bytes.size();
    }
  }
  return total;
}

}  // namespace celerypost::standins
