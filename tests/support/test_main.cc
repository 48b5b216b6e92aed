#include <string>
#include <vector>

#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"

int main(int argc, char** argv) {
  // The static registries of log4cplus and Thrift allocate during a test and
  // free after it, which CppUTest reports as leaks. The sanitizer run finds
  // real leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
