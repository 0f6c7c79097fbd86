// Operators' tool of Tarragondale.
#include <exception>
#include <iostream>

#include "src/ctl/commands.h"

int main(int argc, char** argv) {
  try {
    return tarragondale::ctl::RunCommand({argv + 1, argv + argc}, std::cout,
                                         std::cerr);
  } catch (const std::exception& error) {
    std::cerr << "internal fault: " << error.what() << "\n";
    return static_cast<int>(tarragondale::ctl::exit_code::kUnknown);
  }
}
