#ifndef SRC_PROCESS_CTL_TABLE_H_
#define SRC_PROCESS_CTL_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace celerypost {

// Makes untrusted text safe for a terminal: control characters, which could
// form escape sequences, become '?'.
std::string Printable(std::string_view text);

// Rows of text in aligned columns. Width is counted in code points.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // Missing cells are empty; extra cells are dropped.
  void AddRow(std::vector<std::string> cells);
  // Returns the header in upper case and the rows, each ended by a newline.
  std::string Render() const;

 private:
  size_t columns;
  std::vector<std::vector<std::string>> rows;
};

// Renders a list of objects, one a row, with their members as columns: those of
// `first`, then the others in the order of appearance. Nested values are shown
// as JSON, and SHA-256 digests are cut to their first 12 digits. Returns
// "none\n" for an empty list.
std::string RenderObjects(const nlohmann::ordered_json& list,
                          const std::vector<std::string>& first = {});

// Renders an object of objects; the first column `key_name` holds the keys.
std::string RenderKeyedObjects(std::string_view key_name,
                               const nlohmann::ordered_json& objects);

}  // namespace celerypost

#endif  // SRC_PROCESS_CTL_TABLE_H_
