// The control port: fault injection, settings and read-out of all parts.
// docs/standin.md describes the requests.
#ifndef SRC_STANDIN_CONTROL_H_
#define SRC_STANDIN_CONTROL_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "src/standin/http_service.h"
#include "src/standin/key_value_service.h"
#include "src/standin/member.h"
#include "src/standin/vm_list.h"

namespace tarragondale::standin {

/// @brief All parts of a stand-in.
struct part_set {
  std::unique_ptr<key_value_service> store;
  std::unique_ptr<vm_list> vms;
  std::vector<std::unique_ptr<database_group>> groups;

  member* FindMember(std::string_view name) const;
  database_group* FindGroup(std::string_view name) const;
  /// @brief Listener of `store`, `vm_list` or a member; null if there is none.
  endpoint* FindListener(std::string_view part) const;
};

/// @brief Answers requests of the control port.
class control {
 public:
  explicit control(part_set& parts) : parts_(parts) {}

  http_answer Handle(const http_request& request);

 private:
  using json = nlohmann::json;

  json Dispatch(const std::string& method,
                const std::vector<std::string>& path,
                const json& body);
  json ListParts() const;
  json ReadPart(const std::string& name, const std::string& what);
  json ChangePart(const std::string& name,
                  const std::string& action,
                  const json& body);
  json Cut(const std::string& name, endpoint& target, const json& body);
  json ChangeSettings(member& target, const json& body);
  json ChangeLink(database_group& group, const json& body);
  json ChangeVms(const json& body);

  part_set& parts_;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_CONTROL_H_
