// Files of tables, and their difference from a configuration.
#ifndef TARRAGONDALE_SRC_CTL_FILES_H_
#define TARRAGONDALE_SRC_CTL_FILES_H_

#include <string>
#include <vector>

#include "tarragondale/config.h"

namespace tarragondale::ctl {

/// @brief Reads a whole file. Failure: `invalid_field`.
result<std::string> ReadFile(const std::string& path);

/// @brief Reads and joins files of tables. `errors` receives every fault,
/// including rows that stand twice.
config::tables LoadTables(const std::vector<std::string>& paths,
                          std::vector<failure>& errors);

/// @brief The configuration with the rows of `changes` written into it.
config::configuration Merge(config::configuration base,
                            const config::tables& changes);

/// @brief Lines `+ routes/<name> <row>` and `- routes/<name> <row>` for rows
/// that differ; versions do not count.
std::vector<std::string> Differences(const config::configuration& base,
                                     const config::tables& changes);

}  // namespace tarragondale::ctl

#endif  // TARRAGONDALE_SRC_CTL_FILES_H_
