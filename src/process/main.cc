#include <cstdio>

int main() {
  std::puts("celerypost");
  return 0;
}
