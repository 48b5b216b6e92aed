#include "tests/scenarios/figures.h"

#include <algorithm>
#include <fstream>
#include <set>

#include "tests/standins/stand_in.h"

namespace celerypost::scenarios {

namespace {

using Json = nlohmann::json;

std::optional<double> Number(const Json& object, const std::string& name) {
  if (!object.is_object() || !object.contains(name)) {
    return std::nullopt;
  }
  const Json& value = object[name];
  if (value.is_number()) {
    return value.get<double>();
  }
  return std::nullopt;
}

}  // namespace

Figures::Figures(Fleet& fleet, const ScenarioState& state)
    : fleet(fleet), state(state) {}

std::optional<double> Figures::Evaluate(const std::string& expression) {
  for (const std::string operation : {" / ", " - "}) {
    const size_t at = expression.find(operation);
    if (at == std::string::npos) {
      continue;
    }
    const auto left = this->Value(expression.substr(0, at));
    const auto right = this->Value(expression.substr(at + operation.size()));
    if (!left || !right || (operation == " / " && *right == 0)) {
      return std::nullopt;
    }
    return operation == " / " ? *left / *right : *left - *right;
  }
  return this->Value(expression);
}

std::optional<double> Figures::Value(const std::string& name) {
  const std::map<std::string, double> plain = {
      {"exit", this->state.last_exit},
      {"http_status", this->state.last_http_status},
      {"race_accepted", this->state.race_accepted}};
  if (const auto it = plain.find(name); it != plain.end()) {
    return it->second;
  }
  if (name == "double_runs") {
    return this->DoubleRuns();
  }
  if (name == "false_not_run") {
    return this->FalseNotRun();
  }
  if (const size_t colon = name.find(':'); colon != std::string::npos) {
    return this->WithArgument(name.substr(0, colon), name.substr(colon + 1));
  }
  if (const auto value = this->LoadValue(name)) {
    return value;
  }
  const size_t dot = name.rfind('.');
  if (dot == std::string::npos) {
    return std::nullopt;
  }
  const std::string owner = name.substr(0, dot);
  const std::string figure = name.substr(dot + 1);
  if (owner == "status") {
    return Number(
        this->fleet.Operator(this->fleet.AnyEntry(), "/v1/operator/status"),
        figure);
  }
  if (owner == "kv" || owner == "members" || owner == "origin" ||
      owner == "link") {
    return Number(this->fleet.Report(owner), figure);
  }
  std::optional<double> sum;
  for (const std::string& target : this->fleet.Targets(owner)) {
    const auto value = Number(this->fleet.Report(target), figure);
    sum = sum.value_or(0) + value.value_or(0);
  }
  return sum;
}

std::optional<double> Figures::LoadValue(const std::string& name) const {
  double value = 0;
  if (name.starts_with("requests_")) {
    double sum = 0;
    for (const auto& [label, load] : this->state.loads) {
      if (!load->result().Find(name.substr(9), &value)) {
        return std::nullopt;
      }
      sum += value;
    }
    return sum;
  }
  const size_t dot = name.find('.');
  const auto load = this->state.loads.find(name.substr(0, dot));
  if (dot != std::string::npos && load != this->state.loads.end() &&
      load->second->result().Find(name.substr(dot + 1), &value)) {
    return value;
  }
  return std::nullopt;
}

std::optional<double> Figures::WithArgument(const std::string& kind,
                                            const std::string& argument) {
  if (kind == "exit") {
    const auto status = this->fleet.processes().ExitStatus(argument);
    return status ? std::optional<double>(*status) : std::nullopt;
  }
  if (kind == "number") {
    return Number(this->fleet.Operator(argument, "/v1/operator/status"),
                  "number");
  }
  if (kind == "serving") {
    double count = 0;
    const auto set = this->state.sets.find(argument);
    for (const std::string& target : this->fleet.Targets("engines")) {
      const Json report = this->fleet.Report(target);
      count += set != this->state.sets.end() &&
               report.value("serving_held", "") == set->second;
    }
    return count;
  }
  if (const auto start = this->state.counters.find(kind);
      start != this->state.counters.end()) {
    const auto before = start->second.second.find(argument);
    const auto now = this->Value(argument);
    if (!now || before == start->second.second.end()) {
      return std::nullopt;
    }
    return (*now - before->second) * 1000 /
           static_cast<double>(standins::MonotonicMs() - start->second.first);
  }
  if (kind == "rollout_s") {
    return this->Rollout(argument);
  }
  if (kind == "copies") {
    const auto bytes = Number(this->fleet.Report("origin"), "bytes");
    const auto size = this->state.set_bytes.find(argument);
    if (!bytes || size == this->state.set_bytes.end()) {
      return std::nullopt;
    }
    return (*bytes - this->state.origin_bytes_before) /
           static_cast<double>(size->second);
  }
  if (kind == "last_work_s" || kind == "last_work_after_stop_s") {
    const int64_t since =
        kind == "last_work_s" ? this->state.changed_ms : this->state.stopped_ms;
    double last = -1;
    for (const std::string& target : this->fleet.Targets(argument)) {
      const auto at = Number(this->fleet.Report(target), "last_new_work_ms");
      last =
          std::max(last, (at.value_or(0) - static_cast<double>(since)) / 1000);
    }
    return last;
  }
  return std::nullopt;
}

std::optional<double> Figures::Rollout(const std::string& version) {
  double last = 0;
  for (const std::string& target : this->fleet.Targets("engines")) {
    const Json report = this->fleet.Report(target);
    std::optional<double> at;
    for (const Json& change : report.value("switches", Json::array())) {
      if (change.value("version", "") == version) {
        at = change.value("at_ms", 0.0);
      }
    }
    if (!at) {
      return std::nullopt;
    }
    last = std::max(last, *at);
  }
  return (last - static_cast<double>(this->state.changed_ms)) / 1000;
}

double Figures::DoubleRuns() const {
  std::set<std::string> seen;
  double doubles = 0;
  for (const std::string& path : this->fleet.RunLogs()) {
    std::ifstream file(path);
    for (std::string id; std::getline(file, id);) {
      doubles += seen.insert(id).second ? 0 : 1;
    }
  }
  return doubles;
}

double Figures::FalseNotRun() const {
  std::set<std::string> refused;
  for (const auto& [label, load] : this->state.loads) {
    refused.insert(load->result().not_run_ids.begin(),
                   load->result().not_run_ids.end());
  }
  double count = 0;
  for (const std::string& path : this->fleet.RunLogs()) {
    std::ifstream file(path);
    for (std::string id; std::getline(file, id);) {
      count += refused.contains(id) ? 1 : 0;
    }
  }
  return count;
}

}  // namespace celerypost::scenarios
