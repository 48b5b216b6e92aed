#include "src/process/ctl_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace celerypost {
namespace {

using Json = nlohmann::ordered_json;

constexpr size_t kShownDigestDigits = 12;

size_t CodePoints(std::string_view text) {
  return static_cast<size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xC0) != 0x80; }));
}

bool IsDigest(std::string_view text) {
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string CellText(const Json& value) {
  if (value.is_string()) {
    std::string text = value.get<std::string>();
    if (IsDigest(text)) {
      text.resize(kShownDigestDigits);
    }
    return text;
  }
  return value.is_null()
             ? std::string()
             : value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string Printable(std::string_view text) {
  std::string printable;
  for (size_t i = 0; i < text.size(); ++i) {
    const auto byte = static_cast<unsigned char>(text[i]);
    // U+0080 to U+009F, which some terminals take as control characters, are
    // C2 80 to C2 9F in UTF-8.
    const bool is_c1_control = byte == 0xC2 && i + 1 < text.size() &&
                               static_cast<unsigned char>(text[i + 1]) < 0xA0;
    if (is_c1_control) {
      ++i;
    }
    printable += byte < 0x20 || byte == 0x7F || is_c1_control ? '?' : text[i];
  }
  return printable;
}

TextTable::TextTable(std::vector<std::string> header) : columns(header.size()) {
  for (std::string& cell : header) {
    std::transform(cell.begin(), cell.end(), cell.begin(), [](unsigned char c) {
      return static_cast<char>(std::toupper(c));
    });
  }
  this->AddRow(std::move(header));
}

void TextTable::AddRow(std::vector<std::string> cells) {
  cells.resize(this->columns);
  for (std::string& cell : cells) {
    cell = Printable(cell);
  }
  this->rows.push_back(std::move(cells));
}

std::string TextTable::Render() const {
  std::vector<size_t> widths(this->columns, 0);
  for (const auto& row : this->rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], CodePoints(row[i]));
    }
  }
  std::string text;
  for (const auto& row : this->rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - CodePoints(row[i]) + 2, ' ');
    }
    const size_t end = line.find_last_not_of(' ');
    text += line.substr(0, end == std::string::npos ? 0 : end + 1) + "\n";
  }
  return text;
}

std::string RenderObjects(const Json& list,
                          const std::vector<std::string>& first) {
  std::vector<std::string> header;
  for (const std::string& key : first) {
    const bool used =
        std::any_of(list.begin(), list.end(), [&key](const Json& object) {
          return object.is_object() && object.contains(key);
        });
    if (used) {
      header.push_back(key);
    }
  }
  for (const Json& object : list) {
    for (const auto& [key, value] : object.items()) {
      if (std::find(header.begin(), header.end(), key) == header.end()) {
        header.push_back(key);
      }
    }
  }
  if (header.empty()) {
    return "none\n";
  }
  TextTable table(header);
  for (const Json& object : list) {
    std::vector<std::string> row;
    for (const std::string& key : header) {
      row.push_back(object.is_object() && object.contains(key)
                        ? CellText(object[key])
                        : std::string());
    }
    table.AddRow(std::move(row));
  }
  return table.Render();
}

std::string RenderKeyedObjects(std::string_view key_name, const Json& objects) {
  Json list = Json::array();
  for (const auto& [key, value] : objects.items()) {
    Json row;
    row[std::string(key_name)] = key;
    if (value.is_object()) {
      row.update(value);
    } else {
      row["value"] = value;
    }
    list.push_back(std::move(row));
  }
  return RenderObjects(list);
}

}  // namespace celerypost
