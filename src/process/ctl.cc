#include "src/process/ctl.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include "src/process/ctl_manifest.h"
#include "src/process/ctl_progress.h"
#include "src/process/ctl_table.h"
#include "src/version/bounded_json.h"

namespace celerypost {
namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

// The key-value service accepts values up to 1 MB.
constexpr size_t kMaxManifestBytes = 1'000'000;
// Consecutive failed reads that `rollout --follow` tolerates, because an entry
// can be replaced during a roll-out.
constexpr int kMaxConsecutiveFailedReads = 10;

// How long a change that is not found is queried again. An entry may store a
// change up to 5 s after it was sent, so it is reported as not applied only if
// it is still not stored after that.
constexpr milliseconds kNotFoundTimeout{6000};

constexpr const char* kChangeFlags =
    "operator shared_key who why id expected_number timeout json";

Result<std::string> ReadTextFile(const std::string& path) {
  std::error_code error;
  if (std::filesystem::is_directory(path, error)) {
    return NotRun(ErrorCode::kInvalidArgument, path + " is a directory");
  }
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return NotRun(ErrorCode::kInvalidArgument, "cannot read " + path);
  }
  std::string text(kMaxManifestBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(in.gcount()));
  if (text.size() > kMaxManifestBytes) {
    return NotRun(ErrorCode::kInvalidArgument,
                  path + " is larger than " +
                      std::to_string(kMaxManifestBytes) + " bytes");
  }
  return text;
}

// Returns whether `text` can be a segment of a request path without escapes.
bool IsPathSegment(std::string_view text) {
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  (c >= 'A' && c <= 'Z') || c == '.' || c == '_' || c == '-';
         });
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Prints the member `name` of a status as a table with a title. `first` lists
// the leading columns; the first of them holds the keys of an object.
void PrintSection(std::ostream& out,
                  const Json& status,
                  const char* name,
                  const std::vector<std::string>& first) {
  const auto it = status.find(name);
  if (it == status.end()) {
    return;
  }
  out << "\n" << name << "\n";
  if (it->is_object()) {
    out << RenderKeyedObjects(first.front(), *it);
  } else if (it->is_array()) {
    out << RenderObjects(*it, first);
  } else {
    out << Printable(Dump(*it)) << "\n";
  }
}

}  // namespace

std::string MakeChangeId() {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string id = "ctl-";
  for (const char c : MakeNonce().substr(0, 16)) {
    const auto byte = static_cast<unsigned char>(c);
    id += kDigits[byte >> 4];
    id += kDigits[byte & 15];
  }
  return id;
}

const std::vector<CtlCommand>& CtlCommands() {
  static const std::vector<CtlCommand> commands = {
      {"commit", "FILE", "commit the manifest in FILE", kChangeFlags, true},
      {"zone-out", "ZONE", "take an availability zone out", kChangeFlags, true},
      {"zone-in", "ZONE", "bring an availability zone back", kChangeFlags,
       true},
      {"status", "", "show configuration, zones, members and services",
       "operator shared_key timeout json", true},
      {"audit", "", "show the last accepted changes",
       "operator shared_key last timeout json", true},
      {"rollout", "", "show the progress of roll-outs; --follow until complete",
       "operator shared_key follow interval expected_number timeout json",
       true},
      {"change", "ID", "settle the outcome of the change with this id",
       "operator shared_key interval timeout json", true},
      {"make-manifest", "DESCRIPTION",
       "build a manifest and index documents from artefact files",
       "output manifest_name chunk_kb json", false},
  };
  return commands;
}

const CtlCommand* FindCtlCommand(std::string_view name) {
  const auto& commands = CtlCommands();
  const auto it = std::find_if(
      commands.begin(), commands.end(),
      [name](const CtlCommand& command) { return name == command.name; });
  return it == commands.end() ? nullptr : &*it;
}

Ctl::Ctl(CtlSettings settings, OperatorClient* client, CtlContext context)
    : settings(std::move(settings)),
      client(client),
      context(std::move(context)) {}

CtlExit Ctl::Run(std::string_view command, const Arguments& arguments) {
  struct Handler {
    std::string_view name;
    CtlExit (Ctl::*run)(const Arguments&);
  };
  static constexpr Handler kHandlers[] = {
      {"commit", &Ctl::Commit},  {"zone-out", &Ctl::ZoneOut},
      {"zone-in", &Ctl::ZoneIn}, {"status", &Ctl::Status},
      {"audit", &Ctl::Audit},    {"rollout", &Ctl::Rollout},
      {"change", &Ctl::Change},  {"make-manifest", &Ctl::MakeManifest},
  };
  const CtlCommand* const known = FindCtlCommand(command);
  const auto* const handler = std::find_if(
      std::begin(kHandlers), std::end(kHandlers),
      [command](const Handler& handler) { return handler.name == command; });
  if (known == nullptr || handler == std::end(kHandlers)) {
    return this->UsageError("unknown command '" + Printable(command) +
                            "'; see celerypost help ctl");
  }
  const size_t expected = *known->arguments == '\0' ? 0 : 1;
  if (arguments.size() != expected) {
    return this->UsageError(
        std::string(known->name) + " takes " +
        (expected == 0 ? "no argument"
                       : std::string("one argument, ") + known->arguments) +
        "; " + std::to_string(arguments.size()) + " were given");
  }
  if (known->needs_operator && this->client == nullptr) {
    return this->UsageError("--operator: value is missing");
  }
  return (this->*handler->run)(arguments);
}

CtlExit Ctl::Commit(const Arguments& arguments) {
  const auto text = ReadTextFile(arguments[0]);
  if (!text) {
    return this->UsageError(text.error().message);
  }
  Json manifest = ParseBoundedJson<Json>(*text);
  if (!manifest.is_object()) {
    return this->UsageError(arguments[0] + " is not a JSON object");
  }
  Json change;
  change["kind"] = "manifest";
  change["manifest"] = std::move(manifest);
  return this->SendChange(std::move(change));
}

CtlExit Ctl::ZoneOut(const Arguments& arguments) {
  Json change;
  change["kind"] = "zone_out";
  change["zone"] = arguments[0];
  return this->SendChange(std::move(change));
}

CtlExit Ctl::ZoneIn(const Arguments& arguments) {
  Json change;
  change["kind"] = "zone_in";
  change["zone"] = arguments[0];
  return this->SendChange(std::move(change));
}

CtlExit Ctl::SendChange(Json change) {
  if (this->settings.who.empty()) {
    return this->UsageError(
        "--who: value is missing; expected 1 to 200 bytes for the audit trail");
  }
  if (this->settings.why.empty()) {
    return this->UsageError(
        "--why: value is missing; expected 1 to 1000 bytes for the audit "
        "trail");
  }
  const std::string id = this->settings.change_id.empty()
                             ? this->context.make_change_id()
                             : this->settings.change_id;
  change["id"] = id;
  change["who"] = this->settings.who;
  change["why"] = this->settings.why;
  if (this->settings.expected_number) {
    change["expected_number"] = *this->settings.expected_number;
  }
  return this->ReportChange(InterpretChange(this->client->Call(
                                "POST", "/v1/operator/changes", Dump(change))),
                            id);
}

CtlExit Ctl::Change(const Arguments& arguments) {
  const std::string& id = arguments[0];
  if (!IsPathSegment(id)) {
    return this->UsageError("ID: value '" + Printable(id) +
                            "' is not accepted; expected 1 to 64 of a-z A-Z "
                            "0-9 . _ -");
  }
  const std::string path = "/v1/operator/changes/" + id;
  CtlOutcome outcome =
      InterpretChangeQuery(this->client->Call("GET", path, ""));
  for (milliseconds waited{0};
       outcome.name == "not_found" && waited < kNotFoundTimeout;
       waited += this->settings.interval) {
    this->context.sleep(this->settings.interval);
    outcome = InterpretChangeQuery(this->client->Call("GET", path, ""));
  }
  return this->ReportChange(outcome, id);
}

CtlExit Ctl::ReportChange(const CtlOutcome& outcome, const std::string& id) {
  if (this->settings.json) {
    Json json = {{"id", id}, {"outcome", outcome.name}};
    if (outcome.number) {
      json["number"] = *outcome.number;
    }
    json["message"] = outcome.message;
    this->PrintJson(json);
  } else {
    (outcome.exit == CtlExit::kDone ? this->context.out : this->context.err)
        << "change " << Printable(id) << ": " << Printable(outcome.message)
        << (outcome.number
                ? "; configuration number " + std::to_string(*outcome.number)
                : "")
        << "\n";
  }
  if (outcome.exit == CtlExit::kUnknown) {
    this->context.err
        << "To find out, ask any entry that reaches the key-value service:\n"
        << "  celerypost ctl change " << Printable(id)
        << " --operator IP:PORT\n"
        << "An id is applied at most once, so the change may also be "
           "repeated with\n--id "
        << Printable(id) << ". Do not repeat it with another id.\n";
  }
  return outcome.exit;
}

CtlExit Ctl::Status(const Arguments&) {
  const CtlOutcome outcome =
      InterpretRead(this->client->Call("GET", "/v1/operator/status", ""));
  if (outcome.exit != CtlExit::kDone) {
    return this->ReportFailure(outcome);
  }
  if (this->settings.json) {
    this->PrintJson(outcome.body);
    return CtlExit::kDone;
  }
  std::ostream& out = this->context.out;
  out << "configuration number "
      << (outcome.number ? std::to_string(*outcome.number) : "unknown") << "\n";
  const auto isolated = outcome.body.find("isolated");
  if (isolated != outcome.body.end() && *isolated == true) {
    out << "this entry is isolated: it takes no new work, and what follows may "
           "be out of date\n";
  }
  PrintSection(out, outcome.body, "zones", {"zone"});
  PrintSection(out, outcome.body, "services", {"service", "kind"});
  PrintSection(out, outcome.body, "rollouts", {"service", "version"});
  PrintSection(out, outcome.body, "members",
               {"role", "zone", "service", "state"});
  return CtlExit::kDone;
}

CtlExit Ctl::Audit(const Arguments&) {
  const CtlOutcome outcome = InterpretRead(
      this->client->Call("GET",
                         "/v1/operator/audit?last=" +
                             std::to_string(this->settings.audit_record_count),
                         ""));
  if (outcome.exit != CtlExit::kDone) {
    return this->ReportFailure(outcome);
  }
  const auto changes = outcome.body.find("changes");
  if (changes == outcome.body.end() || !changes->is_array()) {
    return this->ReportFailure({CtlExit::kUnavailable,
                                "unavailable",
                                outcome.number,
                                "the entry's answer has no list \"changes\"",
                                {}});
  }
  if (this->settings.json) {
    this->PrintJson(outcome.body);
  } else {
    this->context.out << RenderObjects(*changes,
                                       {"number", "when", "who", "kind"});
  }
  return CtlExit::kDone;
}

CtlExit Ctl::Rollout(const Arguments&) {
  ProgressDisplay display(this->context.terminal);
  int failed_reads = 0;
  bool had_status = false;
  while (true) {
    CtlOutcome outcome =
        InterpretRead(this->client->Call("GET", "/v1/operator/status", ""));
    std::optional<std::vector<RolloutRow>> rollouts;
    if (outcome.exit == CtlExit::kDone) {
      rollouts = ReadRollouts(outcome.body);
      if (!rollouts) {
        outcome.exit = CtlExit::kUnavailable;
        outcome.name = "unavailable";
        outcome.message = "the entry's answer has no valid list \"rollouts\"";
      }
    }
    if (!rollouts) {
      const bool give_up = !had_status || outcome.exit == CtlExit::kRefused ||
                           ++failed_reads > kMaxConsecutiveFailedReads;
      if (give_up) {
        return this->ReportFailure(outcome);
      }
      this->context.sleep(this->settings.interval);
      continue;
    }
    had_status = true;
    failed_reads = 0;
    if (this->settings.json) {
      Json line;
      line["number"] = outcome.number ? Json(*outcome.number) : Json();
      line["rollouts"] = outcome.body["rollouts"];
      this->PrintJson(line);
    } else {
      this->context.out << display.Update(RenderProgress(*rollouts))
                        << std::flush;
    }
    const bool number_reached = outcome.number.value_or(0) >=
                                this->settings.expected_number.value_or(0);
    const bool complete =
        std::all_of(rollouts->begin(), rollouts->end(),
                    [](const RolloutRow& row) { return row.Complete(); });
    if (!this->settings.follow || (number_reached && complete)) {
      return CtlExit::kDone;
    }
    this->context.sleep(this->settings.interval);
  }
}

CtlExit Ctl::MakeManifest(const Arguments& arguments) {
  if (this->settings.output_directory.empty()) {
    return this->UsageError("--output: value is missing; expected a directory");
  }
  const auto description = ReadTextFile(arguments[0]);
  if (!description) {
    return this->UsageError(description.error().message);
  }
  const auto files = BuildManifest(
      *description, std::filesystem::path(arguments[0]).parent_path(),
      this->settings.manifest_name, this->settings.chunk_bytes);
  if (!files) {
    return this->UsageError(files.error().message);
  }
  const auto written = WriteManifest(*files, this->settings.output_directory);
  if (!written) {
    this->context.err << "celerypost ctl: "
                      << Printable(written.error().message) << "\n";
    return CtlExit::kUnavailable;
  }
  Json rows = Json::array();
  for (const ArtefactDigests& artefact : files->artefacts) {
    rows.push_back({{"file", artefact.file.string()},
                    {"size", artefact.size},
                    {"chunks", artefact.chunks},
                    {"digest", artefact.digest},
                    {"index", artefact.index}});
  }
  const std::string manifest =
      (std::filesystem::path(this->settings.output_directory) / "manifest.json")
          .string();
  if (this->settings.json) {
    this->PrintJson({{"manifest", manifest}, {"artefacts", rows}});
  } else {
    this->context.out << RenderObjects(rows) << "\nwrote " << manifest << "\n";
  }
  return CtlExit::kDone;
}

CtlExit Ctl::ReportFailure(const CtlOutcome& outcome) {
  if (this->settings.json) {
    this->PrintJson({{"outcome", outcome.name}, {"message", outcome.message}});
  } else {
    this->context.err << "celerypost ctl: " << Printable(outcome.message)
                      << "\n";
  }
  return outcome.exit;
}

CtlExit Ctl::UsageError(std::string_view message) {
  this->context.err << "celerypost ctl: " << Printable(message) << "\n";
  return CtlExit::kUsage;
}

void Ctl::PrintJson(const Json& json) {
  this->context.out << Dump(json) << "\n" << std::flush;
}

}  // namespace celerypost
