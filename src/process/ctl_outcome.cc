#include "src/process/ctl_outcome.h"

#include <utility>

#include "src/version/bounded_json.h"

namespace celerypost {
namespace {

using Json = nlohmann::ordered_json;

struct KnownOutcome {
  int status;
  std::string_view name;
  CtlExit exit;
  std::string_view message;
};

constexpr std::string_view kUnknownMessage =
    "the change may or may not be in force";

// An outcome is accepted only together with its HTTP status, so that a response
// of a proxy or a faulty server is not mistaken for a decision.
constexpr KnownOutcome kKnownOutcomes[] = {
    {200, "accepted", CtlExit::kDone, "accepted"},
    {409, "refused_newer", CtlExit::kRefused,
     "refused: the configuration has another number than this change was made "
     "for; look at the status and repeat if the change is still wanted"},
    {503, "unavailable", CtlExit::kUnavailable,
     "not changed: the key-value service cannot be reached; try again later"},
    {503, "region_unreachable", CtlExit::kUnavailable,
     "not changed: a concerned region cannot be reached; try again later"},
    {504, "unknown", CtlExit::kUnknown, kUnknownMessage},
};

std::string TextOf(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

// Returns the message of {"error": {"code", "message"}} or of {"message"}.
std::string ErrorMessage(const Json& body) {
  if (!body.is_object()) {
    return {};
  }
  const auto error = body.find("error");
  if (error != body.end() && error->is_object()) {
    return TextOf(*error, "message");
  }
  if (error != body.end() && error->is_string()) {
    return error->get<std::string>();
  }
  return TextOf(body, "message");
}

CtlOutcome MakeOutcome(CtlExit exit, std::string name, std::string message) {
  CtlOutcome outcome;
  outcome.exit = exit;
  outcome.name = std::move(name);
  outcome.message = std::move(message);
  return outcome;
}

void ReadBody(CtlOutcome& outcome, const HttpResponse& response) {
  Json body = ParseBoundedJson<Json>(response.body);
  if (!body.is_object()) {
    return;
  }
  const auto number = body.find("number");
  if (number != body.end() && number->is_number_unsigned()) {
    outcome.number = number->get<uint64_t>();
  }
  outcome.body = std::move(body);
}

bool IsRefusal(int status) {
  return status >= 400 && status < 500;
}

std::string RefusalMessage(const CtlOutcome& outcome, int status) {
  const std::string error = ErrorMessage(outcome.body);
  return "refused with status " + std::to_string(status) +
         (error.empty() ? "" : ": " + error);
}

// Returns the documented outcome with this status and name, or nullptr.
const KnownOutcome* FindKnownOutcome(int status, const Json& body) {
  const std::string name =
      body.is_object() ? TextOf(body, "outcome") : std::string();
  for (const KnownOutcome& known : kKnownOutcomes) {
    if (known.status == status && known.name == name) {
      return &known;
    }
  }
  return nullptr;
}

void Apply(CtlOutcome& outcome, const KnownOutcome& known) {
  outcome.exit = known.exit;
  outcome.name = known.name;
  outcome.message = known.message;
  const std::string error = ErrorMessage(outcome.body);
  if (!error.empty()) {
    outcome.message += " (" + error + ")";
  }
}

}  // namespace

CtlOutcome InterpretChange(const Result<HttpResponse>& answer) {
  if (!answer) {
    if (answer.error().verdict == Verdict::kNotRun) {
      return MakeOutcome(CtlExit::kUnavailable, "unavailable",
                         "not changed: the entry cannot be reached: " +
                             answer.error().message);
    }
    return MakeOutcome(CtlExit::kUnknown, "unknown",
                       std::string(kUnknownMessage) +
                           ": the answer was lost: " + answer.error().message);
  }
  CtlOutcome outcome;
  ReadBody(outcome, *answer);
  if (const KnownOutcome* known =
          FindKnownOutcome(answer->status, outcome.body)) {
    Apply(outcome, *known);
  } else if (IsRefusal(answer->status)) {
    outcome.exit = CtlExit::kRefused;
    outcome.name = "refused";
    outcome.message = RefusalMessage(outcome, answer->status);
  } else {
    outcome.exit = CtlExit::kUnknown;
    outcome.name = "unknown";
    outcome.message = std::string(kUnknownMessage) +
                      ": the entry gave an unexpected answer with status " +
                      std::to_string(answer->status);
  }
  return outcome;
}

CtlOutcome InterpretChangeQuery(const Result<HttpResponse>& answer) {
  CtlOutcome outcome = InterpretRead(answer);
  const KnownOutcome* const known =
      answer ? FindKnownOutcome(answer->status, outcome.body) : nullptr;
  if (known != nullptr && known->exit != CtlExit::kUnavailable) {
    Apply(outcome, *known);
    return outcome;
  }
  if (answer && answer->status == 404) {
    outcome.name = "not_found";
    outcome.message = "not applied: no stored change has this id";
    return outcome;
  }
  outcome.exit = CtlExit::kUnknown;
  outcome.name = "unknown";
  outcome.message =
      "the outcome cannot be determined now: " +
      (outcome.message.empty() ? "unexpected answer" : outcome.message);
  return outcome;
}

CtlOutcome InterpretRead(const Result<HttpResponse>& answer) {
  if (!answer) {
    return MakeOutcome(
        CtlExit::kUnavailable, "unavailable",
        "the entry cannot be reached: " + answer.error().message);
  }
  CtlOutcome outcome;
  ReadBody(outcome, *answer);
  if (answer->status == 200 && outcome.body.is_object()) {
    outcome.exit = CtlExit::kDone;
    outcome.name = "ok";
  } else if (IsRefusal(answer->status)) {
    outcome.exit = CtlExit::kRefused;
    outcome.name = "refused";
    outcome.message = RefusalMessage(outcome, answer->status);
  } else {
    const std::string error = ErrorMessage(outcome.body);
    outcome.exit = CtlExit::kUnavailable;
    outcome.name = "unavailable";
    outcome.message = answer->status == 503 && !error.empty()
                          ? "the entry cannot answer now: " + error
                          : "the entry gave an unexpected answer with status " +
                                std::to_string(answer->status) +
                                (error.empty() ? "" : ": " + error);
  }
  return outcome;
}

}  // namespace celerypost
