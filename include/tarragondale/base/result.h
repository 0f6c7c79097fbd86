// Results of functions that can fail: an optional value with a last reason.
#ifndef TARRAGONDALE_BASE_RESULT_H_
#define TARRAGONDALE_BASE_RESULT_H_

#include <optional>
#include <string>
#include <utility>

#include "tarragondale/base/result_code.h"

namespace tarragondale {

/// @brief Why an operation failed: a numbered code and a sentence for people.
struct failure {
  result_code code = result_code::kInternal;
  std::string reason;

  bool operator==(const failure&) const = default;
};

/// @brief A value, or the reason why there is none.
///
/// Exactly one of value and failure is present.
template <typename T>
class result {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): a value is a result.
  result(T value) : value_(std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): a failure is a result.
  result(failure reason) : failure_(std::move(reason)) {}

  /// @brief True if there is a value.
  explicit operator bool() const { return value_.has_value(); }

  /// @brief The value; call only if there is one.
  const T& operator*() const { return *value_; }
  T& operator*() { return *value_; }
  const T* operator->() const { return &*value_; }
  T* operator->() { return &*value_; }

  /// @brief The value as an optional.
  const std::optional<T>& value() const { return value_; }

  /// @brief The reason; default-constructed if there is a value.
  const failure& error() const { return failure_; }

 private:
  std::optional<T> value_;
  failure failure_;
};

/// @brief Result of an operation without a value: empty means success.
using status = std::optional<failure>;

}  // namespace tarragondale

#endif  // TARRAGONDALE_BASE_RESULT_H_
