// Reads the fields of one JSON object strictly: every field must be known,
// have the right type and be in range. Keeps the first fault.
#ifndef TARRAGONDALE_SRC_CONFIG_ROW_READER_H_
#define TARRAGONDALE_SRC_CONFIG_ROW_READER_H_

#include <fmt/format.h>

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

#include "tarragondale/base.h"

namespace tarragondale::config {

/// @brief Collects the first fault of a row; `place` names the row.
class row_fault {
 public:
  explicit row_fault(std::string_view place) : place_(place) {}

  void Set(std::string_view field, std::string_view reason) {
    if (!found_) {
      found_ = failure{result_code::kTableInvalid,
                       fmt::format("{}: {}{}{}", place_, field,
                                   field.empty() ? "" : ": ", reason)};
    }
  }

  const status& found() const { return found_; }

 private:
  std::string place_;
  status found_;
};

/// @brief Fields of one JSON object.
class object_reader {
 public:
  object_reader(const nlohmann::json& value,
                std::string prefix,
                row_fault& fault)
      : value_(value), prefix_(std::move(prefix)), fault_(fault) {
    if (!value_.is_object()) {
      Fail("", "must be an object");
    }
  }

  void String(const char* field, std::string& target) {
    if (const nlohmann::json* found = Find(field, true)) {
      if (found->is_string()) {
        target = found->get_ref<const std::string&>();
      } else {
        Fail(field, "must be a string");
      }
    }
  }

  void Bool(const char* field, bool& target) {
    if (const nlohmann::json* found = Find(field, false)) {
      if (found->is_boolean()) {
        target = found->get<bool>();
      } else {
        Fail(field, "must be true or false");
      }
    }
  }

  void Number(const char* field, double& target) {
    if (const nlohmann::json* found = Find(field, true)) {
      if (found->is_number()) {
        target = found->get<double>();
      } else {
        Fail(field, "must be a number");
      }
    }
  }

  template <typename T>
  void Integer(const char* field, bool required, T& target) {
    if (const nlohmann::json* found = Find(field, required)) {
      constexpr auto kMax =
          static_cast<uint64_t>(std::numeric_limits<T>::max());
      if (found->is_number_unsigned() && found->get<uint64_t>() <= kMax) {
        target = static_cast<T>(found->get<uint64_t>());
      } else {
        Fail(field, fmt::format("must be an integer from 0 to {}", kMax));
      }
    }
  }

  /// @brief The field's value, or null if it is absent.
  const nlohmann::json* Find(const char* field, bool required) {
    known_.insert(field);
    if (!value_.is_object()) {
      return nullptr;
    }
    const auto found = value_.find(field);
    if (found == value_.end()) {
      if (required) {
        Fail(field, "is missing");
      }
      return nullptr;
    }
    return &*found;
  }

  /// @brief Fails on fields that were never looked up.
  void RefuseOthers() {
    if (!value_.is_object()) {
      return;
    }
    for (const auto& [name, unused] : value_.items()) {
      if (!known_.contains(name)) {
        Fail(name, "is no known field");
      }
    }
  }

  void Fail(std::string_view field, std::string_view reason) {
    fault_.Set(prefix_ + std::string(field), reason);
  }

 private:
  const nlohmann::json& value_;
  std::string prefix_;
  row_fault& fault_;
  std::set<std::string, std::less<>> known_;
};

/// @brief Parses JSON text; a field that stands twice is a fault, because
/// readers disagree on which of the two counts.
result<nlohmann::json> ParseStrictJson(std::string_view text,
                                       std::string_view place);

}  // namespace tarragondale::config

#endif  // TARRAGONDALE_SRC_CONFIG_ROW_READER_H_
