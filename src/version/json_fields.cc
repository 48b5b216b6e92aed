#include "src/version/json_fields.h"

#include <algorithm>
#include <utility>

#include "src/version/bounded_json.h"

namespace celerypost {
namespace {

using nlohmann::json;

const json& NullValue() {
  static const json null_value;
  return null_value;
}

bool IsIdentifier(std::string_view text) {
  return !text.empty() && text.size() <= 128 &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

}  // namespace

Result<json> ParseJson(std::string_view text, std::string_view what) {
  json document = ParseBoundedJson(text);
  if (document.is_discarded()) {
    return NotRun(ErrorCode::kInvalidArgument,
                  std::string(what) +
                      " is not valid JSON, or nests too deeply (" +
                      std::to_string(text.size()) + " bytes)");
  }
  if (!document.is_object()) {
    return NotRun(ErrorCode::kInvalidArgument, std::string(what) + " is " +
                                                   ShortJson(document) +
                                                   "; accepted: a JSON object");
  }
  return document;
}

std::string ShortJson(const json& value) {
  constexpr size_t kMaxLength = 80;
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxLength) {
    text.resize(kMaxLength);
    text += "...";
  }
  return text;
}

JsonFields::JsonFields(const json& object,
                       std::string path,
                       std::optional<Failure>& error)
    : object(object), path(std::move(path)), error(error) {
  if (!object.is_object() && !error) {
    error = Failure{Verdict::kNotRun, ErrorCode::kInvalidArgument,
                    "field " + this->path + " is " + ShortJson(object) +
                        "; accepted: an object"};
  }
}

std::string JsonFields::Path(std::string_view name) const {
  return this->path.empty() ? std::string(name)
                            : this->path + "." + std::string(name);
}

void JsonFields::Fail(std::string_view name,
                      std::string_view value,
                      std::string_view accepted) {
  if (!this->error) {
    this->error =
        Failure{Verdict::kNotRun, ErrorCode::kInvalidArgument,
                "field " + this->Path(name) + " is " + std::string(value) +
                    "; accepted: " + std::string(accepted)};
  }
}

bool JsonFields::Has(std::string_view name) const {
  return this->object.is_object() && this->object.contains(name);
}

const json& JsonFields::Field(std::string_view name,
                              std::string_view accepted) {
  if (!this->object.is_object()) {
    return NullValue();
  }
  const auto found = this->object.find(name);
  if (found == this->object.end()) {
    this->Fail(name, "missing", accepted);
    return NullValue();
  }
  return *found;
}

uint64_t JsonFields::Integer(std::string_view name,
                             uint64_t min,
                             uint64_t max) {
  const std::string accepted =
      "an integer from " + std::to_string(min) + " to " + std::to_string(max);
  const json& value = this->Field(name, accepted);
  const auto* number = value.get_ptr<const json::number_unsigned_t*>();
  if (number == nullptr || *number < min || *number > max) {
    this->Fail(name, ShortJson(value), accepted);
    return min;
  }
  return *number;
}

bool JsonFields::Boolean(std::string_view name) {
  const json& value = this->Field(name, "true or false");
  const auto* flag = value.get_ptr<const json::boolean_t*>();
  if (flag == nullptr) {
    this->Fail(name, ShortJson(value), "true or false");
    return false;
  }
  return *flag;
}

std::string JsonFields::Identifier(std::string_view name) {
  static constexpr std::string_view kAccepted =
      "a string of 1 to 128 letters, digits, '.', '_' and '-'";
  const json& value = this->Field(name, kAccepted);
  const auto* text = value.get_ptr<const json::string_t*>();
  if (text == nullptr || !IsIdentifier(*text)) {
    this->Fail(name, ShortJson(value), kAccepted);
    return {};
  }
  return *text;
}

size_t JsonFields::Choice(std::string_view name,
                          const std::vector<std::string_view>& choices) {
  std::string accepted;
  for (const std::string_view choice : choices) {
    accepted += (accepted.empty() ? "" : ", ") + std::string(choice);
  }
  const json& value = this->Field(name, accepted);
  const auto* text = value.get_ptr<const json::string_t*>();
  const auto found = text == nullptr
                         ? choices.end()
                         : std::find(choices.begin(), choices.end(), *text);
  if (found == choices.end()) {
    this->Fail(name, ShortJson(value), accepted);
    return 0;
  }
  return static_cast<size_t>(found - choices.begin());
}

Digest JsonFields::Sha256(std::string_view name) {
  static constexpr std::string_view kAccepted = "64 hexadecimal digits";
  const json& value = this->Field(name, kAccepted);
  const auto* text = value.get_ptr<const json::string_t*>();
  const auto digest = text == nullptr ? std::nullopt : Digest::FromHex(*text);
  if (!digest) {
    this->Fail(name, ShortJson(value), kAccepted);
    return {};
  }
  return *digest;
}

const json& JsonFields::Object(std::string_view name) {
  static const json empty_object = json::object();
  const json& value = this->Field(name, "an object");
  if (!value.is_object()) {
    this->Fail(name, ShortJson(value), "an object");
    return empty_object;
  }
  return value;
}

const json& JsonFields::Array(std::string_view name, size_t min, size_t max) {
  static const json empty_array = json::array();
  const std::string accepted = "an array of " + std::to_string(min) + " to " +
                               std::to_string(max) + " elements";
  const json& value = this->Field(name, accepted);
  if (!value.is_array() || value.size() < min || value.size() > max) {
    this->Fail(name,
               value.is_array()
                   ? "an array of " + std::to_string(value.size()) + " elements"
                   : ShortJson(value),
               accepted);
    return empty_array;
  }
  return value;
}

}  // namespace celerypost
