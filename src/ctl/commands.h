// Runs the commands of tarragondalectl.
#ifndef TARRAGONDALE_SRC_CTL_COMMANDS_H_
#define TARRAGONDALE_SRC_CTL_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

#include "src/ctl/arguments.h"

namespace tarragondale::ctl {

/// @brief Runs one command line; results go to `out`, everything else to
/// `err`. Returns the exit code.
int RunCommand(const std::vector<std::string>& words,
               std::ostream& out,
               std::ostream& err);

}  // namespace tarragondale::ctl

#endif  // TARRAGONDALE_SRC_CTL_COMMANDS_H_
