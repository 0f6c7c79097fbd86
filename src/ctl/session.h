// What all commands share: arguments, output, the store and the VMs.
#ifndef TARRAGONDALE_SRC_CTL_SESSION_H_
#define TARRAGONDALE_SRC_CTL_SESSION_H_

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "src/ctl/arguments.h"
#include "src/ctl/vms.h"
#include "tarragondale/store.h"

namespace tarragondale::ctl {

class session {
 public:
  session(const arguments& given, std::ostream& out, std::ostream& err);

  const arguments& given() const { return given_; }
  store::configuration_store& rows() { return rows_; }

  /// @brief Prints `text`, or `value` with --json.
  void Print(const std::string& text, const nlohmann::json& value);
  void Warn(const std::string& text);
  exit_code Fail(const failure& cause);
  /// @brief Prints all failures; gives the exit code of the first.
  exit_code Fail(const std::vector<failure>& causes);

  /// @brief Addresses from --vms, or the list of VMs.
  result<std::vector<listed_vm>> Vms();

  /// @brief Calls a VM's admin interface with the operator key; an answer
  /// other than 200 is a failure with the code that the VM gave.
  result<std::string> CallVm(const std::string& address,
                             const std::string& method,
                             const std::string& path,
                             const std::string& body);

  /// @brief Waits until every live VM has `version`; prints progress at the
  /// end. A VM that is listed as live and does not answer counts as lacking
  /// it; one that is listed as leaving may be gone already and does not count.
  exit_code WaitInForce(int64_t version);

 private:
  const arguments& given_;
  std::ostream& out_;
  std::ostream& err_;
  store::client client_;
  store::configuration_store rows_;
};

}  // namespace tarragondale::ctl

#endif  // TARRAGONDALE_SRC_CTL_SESSION_H_
