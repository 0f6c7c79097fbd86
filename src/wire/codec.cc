// msgpack codec of the messages between VMs.
#include <msgpack.hpp>

#include <limits>
#include <type_traits>
#include <utility>

#include "src/wire/fields.h"
#include "tarragondale/wire.h"

namespace tarragondale::wire {
namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

// The deepest message has 7 levels: message, body, results, result, rows, row
// and value. The limit leaves room for new message types.
constexpr size_t kMaxDepth = 16;
constexpr size_t kMaxElements = 1U << 20;
constexpr size_t kMessageFields = 4;

template <typename T>
struct is_vector : std::false_type {};
template <typename T>
struct is_vector<std::vector<T>> : std::true_type {};
template <typename T>
struct is_optional : std::false_type {};
template <typename T>
struct is_optional<std::optional<T>> : std::true_type {};

template <typename T>
void Pack(packer& out, const T& value);

template <typename T>
void PackStruct(packer& out, const T& value) {
  std::apply(
      [&](auto... members) {
        out.pack_array(sizeof...(members));
        (Pack(out, value.*members), ...);
      },
      fields<T>::kTable);
}

template <typename T>
void Pack(packer& out, const T& value) {
  if constexpr (std::is_same_v<T, std::string>) {
    // Strings are packed as binary, since they may be invalid UTF-8, for
    // example SHA-256 digests.
    out.pack_bin(static_cast<uint32_t>(value.size()));
    out.pack_bin_body(value.data(), static_cast<uint32_t>(value.size()));
  } else if constexpr (std::is_enum_v<T>) {
    out.pack(static_cast<std::underlying_type_t<T>>(value));
  } else if constexpr (is_vector<T>::value) {
    out.pack_array(static_cast<uint32_t>(value.size()));
    for (const auto& element : value) {
      Pack(out, element);
    }
  } else if constexpr (is_optional<T>::value) {
    if (value) {
      Pack(out, *value);
    } else {
      out.pack_nil();
    }
  } else if constexpr (std::is_arithmetic_v<T>) {
    out.pack(value);
  } else {
    PackStruct(out, value);
  }
}

template <typename T>
bool Unpack(const msgpack::object& in, T& value);

template <typename T>
bool UnpackInteger(const msgpack::object& in, T& value) {
  if (in.type == msgpack::type::POSITIVE_INTEGER) {
    value = static_cast<T>(in.via.u64);
    return std::in_range<T>(in.via.u64);
  }
  if (in.type == msgpack::type::NEGATIVE_INTEGER) {
    value = static_cast<T>(in.via.i64);
    return std::in_range<T>(in.via.i64);
  }
  return false;
}

template <typename T>
bool UnpackEnum(const msgpack::object& in, T& value) {
  uint16_t number = 0;
  if (!UnpackInteger(in, number)) {
    return false;
  }
  if constexpr (std::is_same_v<T, result_code>) {
    const auto code = ResultCodeFromNumber(number);
    value = code.value_or(result_code::kInternal);
    return code.has_value();
  } else {
    value = static_cast<T>(number);
    return number <= kLastEnumerator<T>;
  }
}

template <typename T>
bool UnpackVector(const msgpack::object& in, std::vector<T>& value) {
  if (in.type != msgpack::type::ARRAY) {
    return false;
  }
  // Grows with the elements that decode, since a forged element may take one
  // byte where the struct takes hundreds.
  value.clear();
  for (uint32_t i = 0; i < in.via.array.size; ++i) {
    T element{};
    if (!Unpack(in.via.array.ptr[i], element)) {
      return false;
    }
    value.push_back(std::move(element));
  }
  return true;
}

template <typename T>
bool UnpackStruct(const msgpack::object& in, T& value) {
  constexpr size_t kCount = std::tuple_size_v<decltype(fields<T>::kTable)>;
  if (in.type != msgpack::type::ARRAY || in.via.array.size != kCount) {
    return false;
  }
  const msgpack::object* next = in.via.array.ptr;
  return std::apply(
      [&](auto... members) { return (Unpack(*next++, value.*members) && ...); },
      fields<T>::kTable);
}

template <typename T>
bool Unpack(const msgpack::object& in, T& value) {
  if constexpr (std::is_same_v<T, std::string>) {
    if (in.type != msgpack::type::BIN) {
      return false;
    }
    value.assign(in.via.bin.ptr, in.via.bin.size);
    return true;
  } else if constexpr (std::is_same_v<T, bool>) {
    value = in.type == msgpack::type::BOOLEAN && in.via.boolean;
    return in.type == msgpack::type::BOOLEAN;
  } else if constexpr (std::is_enum_v<T>) {
    return UnpackEnum(in, value);
  } else if constexpr (std::is_integral_v<T>) {
    return UnpackInteger(in, value);
  } else if constexpr (is_vector<T>::value) {
    return UnpackVector(in, value);
  } else if constexpr (is_optional<T>::value) {
    if (in.type == msgpack::type::NIL) {
      value.reset();
      return true;
    }
    return Unpack(in, value.emplace());
  } else {
    return UnpackStruct(in, value);
  }
}

template <size_t I = 0>
bool UnpackBody(size_t type, const msgpack::object& in, message_body& body) {
  if constexpr (I < std::variant_size_v<message_body>) {
    return type == I ? Unpack(in, body.emplace<I>())
                     : UnpackBody<I + 1>(type, in, body);
  } else {
    return false;
  }
}

failure Malformed(std::string reason) {
  return {result_code::kMessageMalformed, std::move(reason)};
}

// Checks that there are bytes for the elements that all arrays claim, since the
// tree is allocated by these claims.
struct length_check : msgpack::null_visitor {
  size_t left;  ///< Bytes of elements; each takes one at least.
  size_t depth = 0;

  explicit length_check(size_t bytes) : left(bytes) {}
  // NOLINTBEGIN(readability-identifier-naming): names of msgpack
  bool start_array(uint32_t claimed) { return Enter(claimed); }
  bool end_array() { return Leave(); }
  bool start_map(uint32_t claimed) { return Enter(size_t{2} * claimed); }
  bool end_map() { return Leave(); }
  // NOLINTEND(readability-identifier-naming)
  bool Enter(size_t claimed) {
    const bool enough = claimed <= left;
    left -= enough ? claimed : 0;
    return enough && ++depth <= kMaxDepth;
  }
  bool Leave() {
    --depth;
    return true;
  }
};

bool LengthsAreCovered(std::string_view bytes) {
  length_check check(bytes.size());
  return msgpack::parse(bytes.data(), bytes.size(), check);
}

// Parses `bytes` into a tree of objects. Returns nothing if `bytes` is not
// exactly one msgpack value within the limits of elements, sizes and depth, or
// if memory runs out.
std::optional<msgpack::object_handle> Parse(std::string_view bytes) {
  const msgpack::unpack_limit limit(kMaxElements, 0, kMaxMessageBytes,
                                    kMaxMessageBytes, 0, kMaxDepth);
  if (!LengthsAreCovered(bytes)) {
    return std::nullopt;
  }
  try {
    size_t used = 0;
    msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), used, nullptr, nullptr, limit);
    if (used != bytes.size()) {
      return std::nullopt;
    }
    return handle;
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const std::bad_alloc&) {
    return std::nullopt;
  }
}

std::string ToString(const msgpack::sbuffer& buffer) {
  return {buffer.data(), buffer.size()};
}

}  // namespace

std::string Encode(const message& value) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(kMessageFields);
  out.pack(kMessageVersion);
  out.pack(value.body.index());
  Pack(out, value.sender);
  std::visit([&](const auto& body) { Pack(out, body); }, value.body);
  return ToString(buffer);
}

result<message> Decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return Malformed("the message exceeds the size limit");
  }
  const auto handle = Parse(bytes);
  if (!handle) {
    return Malformed("the message is not valid msgpack");
  }
  const msgpack::object& root = handle->get();
  if (root.type != msgpack::type::ARRAY || root.via.array.size == 0) {
    return Malformed("the message is not a non-empty array");
  }
  const msgpack::object* const parts = root.via.array.ptr;
  uint32_t version = 0;
  if (!Unpack(parts[0], version)) {
    return Malformed("the message has no valid version");
  }
  if (version != kMessageVersion) {
    return failure{
        result_code::kMessageVersionUnknown,
        "the message has unsupported version " + std::to_string(version)};
  }
  uint32_t type = 0;
  message value;
  if (root.via.array.size != kMessageFields || !Unpack(parts[1], type) ||
      !Unpack(parts[2], value.sender)) {
    return Malformed("the message header is invalid");
  }
  if (!UnpackBody(type, parts[3], value.body)) {
    return Malformed("the body of message type " + std::to_string(type) +
                     " is invalid or the type is unknown");
  }
  return value;
}

std::string RequestDigest(request_kind kind,
                          const std::vector<statement>& statements) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  Pack(out, kind);
  Pack(out, statements);
  return Sha256({buffer.data(), buffer.size()});
}

std::string EncodeResults(const std::vector<statement_result>& results) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  Pack(out, results);
  return ToString(buffer);
}

result<std::vector<statement_result>> DecodeResults(std::string_view bytes) {
  const auto handle = Parse(bytes);
  std::vector<statement_result> results;
  if (!handle || !Unpack(handle->get(), results)) {
    return Malformed("the recorded results are invalid");
  }
  return results;
}

}  // namespace tarragondale::wire
