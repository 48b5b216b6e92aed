#ifndef SRC_VERSION_HEX_H_
#define SRC_VERSION_HEX_H_

#include <string>
#include <string_view>

namespace celerypost {

// Returns the value of a hexadecimal digit of either case, or -1.
int HexValue(char digit);

// Returns two lower-case hexadecimal digits for each byte.
std::string ToHex(std::string_view bytes);

}  // namespace celerypost

#endif  // SRC_VERSION_HEX_H_
