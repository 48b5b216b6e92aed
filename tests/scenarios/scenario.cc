#include "tests/scenarios/scenario.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <utility>

#include "tests/standins/blocking_client.h"
#include "tests/standins/stand_in.h"
#include "tests/standins/weight_memory.h"

namespace celerypost::scenarios {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kPollInterval = milliseconds(20);
constexpr auto kCtlTimeout = std::chrono::seconds(30);

// Parses "3s" or "250ms". Any unit but "s" counts as milliseconds; zero if the
// text does not start with a number.
milliseconds ParseTime(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const std::string unit(parsed.ptr, end);
  return milliseconds(static_cast<int64_t>(unit == "s" ? value * 1000 : value));
}

// Parses "64k" (KiB), "1m" (MiB) or a plain number of bytes.
uint64_t ParseSize(const std::string& text) {
  const uint64_t factor = text.ends_with('m')   ? 1 << 20
                          : text.ends_with('k') ? 1 << 10
                                                : 1;
  return std::stoull(text) * factor;
}

Parameters ParseParameters(const std::vector<std::string>& tokens,
                           size_t first) {
  Parameters parameters;
  for (size_t i = first; i + 1 < tokens.size(); i += 2) {
    parameters[tokens[i]] = tokens[i + 1];
  }
  return parameters;
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::string JoinFrom(const std::vector<std::string>& tokens, size_t first) {
  std::string text;
  for (size_t i = first; i < tokens.size(); ++i) {
    text += (i == first ? "" : " ") + tokens[i];
  }
  return text;
}

// Parses `text` as JSON; text that is not valid JSON becomes a string.
Json ParseValue(const std::string& text) {
  const Json value = Json::parse(text, nullptr, false);
  return value.is_discarded() ? Json(text) : value;
}

}  // namespace

Scenario::Scenario(Loop& loop, const FleetOptions& options, bool verbose)
    : loop(loop),
      options(options),
      verbose(verbose),
      fleet(loop, options),
      pool(loop),
      reader(this->fleet, this->state) {}

const std::map<std::string, Scenario::Command>& Scenario::Commands() {
  static const auto* commands = new std::map<std::string, Command>{
      {"start", &Scenario::Start},     {"restart", &Scenario::Signal},
      {"kill", &Scenario::Signal},     {"stop", &Scenario::Signal},
      {"freeze", &Scenario::Signal},   {"resume", &Scenario::Signal},
      {"fault", &Scenario::Fault},     {"set", &Scenario::Fault},
      {"weights", &Scenario::Weights}, {"ctl", &Scenario::Ctl},
      {"race", &Scenario::Race},       {"load", &Scenario::Load},
      {"wait", &Scenario::Wait},       {"expect", &Scenario::Expect},
      {"figure", &Scenario::Figure},   {"http", &Scenario::Http},
      {"garbage", &Scenario::Garbage}, {"counter", &Scenario::Counter},
      {"cut", &Scenario::Cut},         {"stall", &Scenario::Cut}};
  return *commands;
}

bool Scenario::RunFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return false;
  }
  for (std::string line; std::getline(file, line);) {
    this->RunLine(line.substr(0, line.find('#')));
  }
  return true;
}

void Scenario::RunLine(const std::string& line) {
  const Tokens tokens = Split(line, ' ');
  if (tokens.empty()) {
    return;
  }
  const TimePoint begin = Clock::now();
  const auto command = Commands().find(tokens[0]);
  std::string error = command == Commands().end()
                          ? "unknown command " + tokens[0]
                          : (this->*command->second)(tokens);
  const auto took =
      std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
  const bool is_check = tokens[0] == "expect" || tokens[0] == "figure";
  if (!error.empty()) {
    ++this->checks_failed;
    std::printf("FAILED %s: %s\n", line.c_str(), error.c_str());
    this->PrintProblems();
    if (line.find("over_bound") != std::string::npos) {
      this->PrintColdStarts();
    }
  } else {
    this->checks_passed += is_check ? 1 : 0;
    if (this->verbose) {
      std::printf("ok     %s (%lld ms)\n", line.c_str(),
                  static_cast<long long>(took.count()));
    }
  }
  std::fflush(stdout);
}

void Scenario::PrintProblems() {
  for (const auto& [label, load] : this->state.loads) {
    const auto& problems = load->result().problems;
    for (size_t i = 0; i < std::min<size_t>(problems.size(), 5); ++i) {
      std::printf("       load %s: %s\n", label.c_str(), problems[i].c_str());
    }
  }
}

void Scenario::PrintColdStarts() {
  for (const std::string& target : this->fleet.Targets("targets")) {
    const Json report = this->fleet.Report(target);
    const Json arrivals = report.value("arrivals_over_bound", Json::array());
    if (!arrivals.empty()) {
      std::printf("       %s: over_bound %s, arrivals %s\n", target.c_str(),
                  report.value("over_bound", Json()).dump().c_str(),
                  arrivals.dump().c_str());
    }
  }
}

void Scenario::RunLoopFor(milliseconds duration) {
  const TimePoint end = Clock::now() + duration;
  while (Clock::now() < end) {
    this->loop.RunFor(std::min<milliseconds>(
        kPollInterval, std::chrono::ceil<milliseconds>(end - Clock::now())));
  }
}

std::string Scenario::Start(const Tokens& tokens) {
  if (tokens.size() < 3) {
    return "start entry|agent <name>, or start entries|agents <count>";
  }
  if (tokens[1] == "entry" || tokens[1] == "agent") {
    return this->StartOne(tokens);
  }
  Parameters parameters = ParseParameters(tokens, 3);
  const auto zones = Split(parameters["zones"], ',');
  const std::string prefix = parameters["prefix"];
  parameters.erase("zones");
  parameters.erase("prefix");
  for (int i = 0; i < std::stoi(tokens[2]); ++i) {
    parameters["zone"] = zones.at(i % zones.size());
    Tokens one = {"start", tokens[1] == "entries" ? "entry" : "agent",
                  prefix + std::to_string(i + 1)};
    for (const auto& [name, value] : parameters) {
      one.push_back(name);
      one.push_back(value);
    }
    if (std::string error = this->StartOne(one); !error.empty()) {
      return error;
    }
  }
  return "";
}

std::string Scenario::StartOne(const Tokens& tokens) {
  const Parameters parameters = ParseParameters(tokens, 3);
  return tokens[1] == "entry" ? this->fleet.StartEntry(tokens[2], parameters)
                              : this->fleet.StartAgent(tokens[2], parameters);
}

std::string Scenario::Signal(const Tokens& tokens) {
  const std::string& name = tokens.back();
  if (tokens[0] == "restart") {
    return this->fleet.Restart(name);
  }
  if (tokens[0] == "kill") {
    return this->fleet.Kill(name);
  }
  if (tokens[0] == "stop") {
    this->state.stopped_ms = standins::MonotonicMs();
    return this->fleet.Stop(name);
  }
  const int signal = tokens[0] == "freeze" ? SIGSTOP : SIGCONT;
  return this->fleet.processes().Signal(name, signal)
             ? ""
             : name + " is not running";
}

std::string Scenario::Fault(const Tokens& tokens) {
  Json order = Json::object();
  size_t first = 2;
  if (tokens[0] == "fault") {
    order["fault"] = tokens.at(2);
    first = 3;
  }
  for (const auto& [name, value] : ParseParameters(tokens, first)) {
    order[name] = ParseValue(value);
  }
  const Json answer = this->fleet.Control(tokens.at(1), order);
  return answer.contains("error") ? answer["error"].dump() : "";
}

std::string Scenario::Weights(const Tokens& tokens) {
  const std::string& version = tokens.at(1);
  Parameters parameters = ParseParameters(tokens, 2);
  const uint64_t size = ParseSize(parameters["size"]);
  Json artefacts = Json::array();
  uint64_t total = 0;
  // A model, and an adapter of 1/16 of its size.
  for (const auto& [name, kind, part, seed_offset] :
       {std::tuple("base", "model", size, 0),
        std::tuple("swahili", "adapter", size / 16, 1000000)}) {
    Json add = {{"size", part},
                {"chunk_size", ParseSize(parameters["chunk"])},
                {"seed", std::stoul(parameters["seed"]) + seed_offset}};
    if (parameters.contains("shared_seed")) {
      add["shared_seed"] = std::stoul(parameters["shared_seed"]) + seed_offset;
      add["shared_percent"] = std::stoul(parameters["shared_percent"]);
    }
    const Json added = this->fleet.Control("origin", {{"add", add}});
    if (!added.contains("digest")) {
      return "the origin answered " + added.dump();
    }
    artefacts.push_back({{"name", name},
                         {"kind", kind},
                         {"digest", added["digest"]},
                         {"size", part},
                         {"index", added["index"]}});
    total += part;
  }
  this->state.sets[version] = standins::SetDigest(version, artefacts);
  this->state.set_bytes[version] = total;
  const Json manifest = {
      {"format", 1},
      {"name", "scenario." + version},
      {"services",
       this->fleet.Services({{"version", version}, {"artefacts", artefacts}})}};
  std::ofstream(this->options.output + "/" + version + ".json")
      << manifest.dump(1);
  return "";
}

std::string Scenario::StartCtl(const std::string& process,
                               const Tokens& arguments) {
  Tokens command = {this->options.celerypost, "ctl"};
  for (const std::string& argument : arguments) {
    command.push_back(argument.starts_with('@')
                          ? this->options.output + "/" + argument.substr(1) +
                                ".json"
                          : argument);
  }
  const auto has = [&arguments](const std::string& flag) {
    return std::any_of(arguments.begin(), arguments.end(),
                       [&flag](const std::string& argument) {
                         return argument.starts_with(flag);
                       });
  };
  if (!has("--operator")) {
    command.push_back("--operator=" +
                      this->fleet.Address(this->fleet.AnyEntry(), "operator"));
  }
  const std::string name = arguments.empty() ? "" : arguments[0];
  if (name == "commit" || name.starts_with("zone-")) {
    command.push_back("--who=scenario");
    command.push_back("--why=scenario");
  }
  return this->fleet.processes().Start(process, command, Fleet::Environment())
             ? ""
             : "ctl could not be started";
}

int Scenario::WaitExit(const std::string& process) {
  const TimePoint limit = Clock::now() + kCtlTimeout;
  while (this->fleet.processes().IsRunning(process) && Clock::now() < limit) {
    this->loop.RunFor(milliseconds(5));
  }
  return this->fleet.processes().ExitStatus(process).value_or(-1);
}

void Scenario::RecordAcceptedChange() {
  this->state.changed_ms = standins::MonotonicMs();
}

std::string Scenario::Ctl(const Tokens& tokens) {
  const bool fails = tokens.size() > 1 && tokens[1] == "fails";
  const std::string process = "ctl-" + std::to_string(++this->ctl_runs);
  const double bytes = this->reader.Evaluate("origin.bytes").value_or(0);
  if (std::string error = this->StartCtl(
          process, Tokens(tokens.begin() + (fails ? 2 : 1), tokens.end()));
      !error.empty()) {
    return error;
  }
  this->state.last_exit = this->WaitExit(process);
  if (this->state.last_exit == 0) {
    this->RecordAcceptedChange();
    this->state.origin_bytes_before = bytes;
  }
  // An end by a signal counts as an error even after "fails".
  const bool right =
      fails ? this->state.last_exit > 0 : this->state.last_exit == 0;
  if (right) {
    return "";
  }
  std::ifstream log(this->fleet.processes().LogPath(process));
  std::stringstream text;
  text << log.rdbuf();
  return "exit status " + std::to_string(this->state.last_exit) + ": " +
         text.str().substr(0, 500);
}

std::string Scenario::Race(const Tokens& tokens) {
  std::vector<std::string> processes;
  Tokens arguments;
  this->state.race_accepted = 0;
  for (size_t i = 1; i <= tokens.size(); ++i) {
    if (i < tokens.size() && tokens[i] != "||") {
      arguments.push_back(tokens[i]);
      continue;
    }
    processes.push_back("ctl-" + std::to_string(++this->ctl_runs));
    if (std::string error = this->StartCtl(processes.back(), arguments);
        !error.empty()) {
      return error;
    }
    arguments.clear();
  }
  for (const std::string& process : processes) {
    const int status = this->WaitExit(process);
    this->state.race_accepted += status == 0 ? 1 : 0;
    if (status < 0) {
      return process + " was killed by a signal or did not exit in time";
    }
  }
  this->RecordAcceptedChange();
  return "";
}

std::string Scenario::Load(const Tokens& tokens) {
  if (tokens.size() < 5 || tokens[3] != "for") {
    return "load <service> <rate>/s for <time> [as <label>]";
  }
  Parameters parameters = ParseParameters(tokens, 5);
  LoadOptions load;
  load.service = tokens[1];
  load.engine = this->fleet.IsEngine(load.service);
  load.requests_per_second = std::stod(tokens[2]);
  load.duration = ParseTime(tokens[4]);
  if (parameters.contains("max_tokens")) {
    load.max_tokens = std::stol(parameters["max_tokens"]);
  }
  if (parameters.contains("attempts")) {
    load.attempts = std::stoi(parameters["attempts"]);
  }
  if (parameters.contains("priority")) {
    load.priority = parameters["priority"];
  }
  const std::string label =
      parameters.contains("as") ? parameters["as"] : load.service;
  const auto entries = this->fleet.EntryAddresses();
  if (entries.empty() || this->state.loads.contains(label)) {
    return entries.empty() ? "no entry is running"
                           : "label " + label + " is already in use";
  }
  this->state.loads[label] = std::make_unique<LoadGenerator>(
      this->loop, this->pool, load, entries,
      [this](const std::string& version) {
        const auto set = this->state.sets.find(version);
        return set == this->state.sets.end() ? "" : set->second;
      });
  return "";
}

std::string Scenario::Wait(const Tokens& tokens) {
  if (tokens.at(1) == "ready") {
    return this->fleet.WaitReady();
  }
  if (tokens.at(1) != "load") {
    this->RunLoopFor(ParseTime(tokens[1]));
    return "";
  }
  const TimePoint limit = Clock::now() + std::chrono::seconds(90);
  const auto busy = [this] {
    return std::any_of(
        this->state.loads.begin(), this->state.loads.end(),
        [](const auto& named) { return !named.second->finished(); });
  };
  while (busy()) {
    if (Clock::now() > limit) {
      return "the load did not finish within 90 s";
    }
    this->RunLoopFor(kPollInterval);
  }
  return "";
}

std::string Scenario::Counter(const Tokens& tokens) {
  // counter <label>: from now on "<label>:<figure>" is the average growth of
  // the figure per second since this command.
  this->state.counters[tokens.at(1)] = {
      standins::MonotonicMs(),
      {{"kv.reads", this->reader.Evaluate("kv.reads").value_or(0)},
       {"kv.writes", this->reader.Evaluate("kv.writes").value_or(0)}}};
  return "";
}

bool Scenario::Compare(const Tokens& condition,
                       double* value,
                       std::string* shown) {
  const size_t size = condition.size();
  const Tokens names(condition.begin(), condition.end() - 2);
  const auto actual = this->reader.Evaluate(JoinFrom(names, 0));
  if (!actual) {
    *shown = JoinFrom(names, 0) + " has no value";
    return false;
  }
  *value = *actual;
  std::ostringstream text;
  text << JoinFrom(names, 0) << " is " << *actual;
  *shown = text.str();
  const double bound = std::stod(condition[size - 1]);
  const std::string& operation = condition[size - 2];
  return operation == "=="   ? *actual == bound
         : operation == "!=" ? *actual != bound
         : operation == "<=" ? *actual <= bound
         : operation == ">=" ? *actual >= bound
         : operation == "<"  ? *actual < bound
                             : *actual > bound;
}

std::string Scenario::Expect(const Tokens& tokens) {
  const bool within = tokens.size() > 2 && tokens[1] == "within";
  const Tokens condition(tokens.begin() + (within ? 3 : 1), tokens.end());
  if (condition.size() < 3) {
    return "expect [within <time>] <figure> <operator> <number>";
  }
  const TimePoint limit =
      Clock::now() + (within ? ParseTime(tokens[2]) : milliseconds(0));
  double value = 0;
  std::string shown;
  while (!this->Compare(condition, &value, &shown)) {
    if (Clock::now() >= limit) {
      return shown;
    }
    this->RunLoopFor(kPollInterval);
  }
  return "";
}

std::string Scenario::Figure(const Tokens& tokens) {
  // figure <name> <expression> <unit> <operator> <bound>
  if (tokens.size() < 6) {
    return "figure <name> <figure> <unit> <operator> <bound>";
  }
  Tokens condition(tokens.begin() + 2, tokens.end() - 3);
  condition.push_back(tokens[tokens.size() - 2]);
  condition.push_back(tokens.back());
  FigureRow row;
  row.name = tokens[1];
  row.unit = tokens[tokens.size() - 3];
  row.comparison = tokens[tokens.size() - 2];
  row.bound = std::stod(tokens.back());
  std::string shown;
  row.holds = this->Compare(condition, &row.value, &shown);
  this->rows.push_back(row);
  return row.holds ? ""
                   : shown + ", bound " + row.comparison + " " + tokens.back();
}

std::string Scenario::Http(const Tokens& tokens) {
  // http <name> <port kind> <method> <path> [<body>]
  const auto address =
      SocketAddress::Parse(this->fleet.Address(tokens.at(1), tokens.at(2)));
  if (!address) {
    return "no such address";
  }
  HttpRequest request;
  request.method = tokens.at(3);
  request.path = tokens.at(4);
  request.body = JoinFrom(tokens, 5);
  const auto answer = standins::Call(this->loop, address->port, request);
  this->state.last_http_status = answer ? answer->status : 0;
  return answer ? "" : answer.error().message;
}

std::string Scenario::Garbage(const Tokens& tokens) {
  // garbage <name> <port kind> <hex bytes>
  const auto address =
      SocketAddress::Parse(this->fleet.Address(tokens.at(1), tokens.at(2)));
  if (!address) {
    return "no such address";
  }
  std::string bytes;
  for (size_t i = 0; i + 1 < tokens.at(3).size(); i += 2) {
    bytes += static_cast<char>(std::stoi(tokens[3].substr(i, 2), nullptr, 16));
  }
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address->port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool sent =
      connect(connection, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0 &&
      send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size());
  // The peer must close a connection on which it receives no valid frame.
  bool closed = false;
  const TimePoint limit = Clock::now() + std::chrono::seconds(3);
  while (sent && !closed && Clock::now() < limit) {
    char byte = 0;
    const ssize_t got = recv(connection, &byte, 1, MSG_DONTWAIT);
    closed = got == 0 || (got < 0 && errno == ECONNRESET);
    this->loop.RunFor(milliseconds(5));
  }
  close(connection);
  return !sent    ? "could not connect or send"
         : closed ? ""
                  : "the peer did not close the connection within 3 s";
}

std::string Scenario::Cut(const Tokens& tokens) {
  // cut|stall region <a> <b> for <time>
  const char* setting = tokens[0] == "cut" ? "cut" : "stalled";
  const Json pair = Json::array({tokens.at(2), tokens.at(3)});
  this->fleet.Control("link", {{"pair", pair}, {setting, true}});
  this->RunLoopFor(ParseTime(tokens.at(5)));
  this->fleet.Control("link", {{"pair", pair}, {setting, false}});
  return "";
}

}  // namespace celerypost::scenarios
