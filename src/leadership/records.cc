// Encodes and decodes the fleet's records in the store, which are JSON objects.
#include <fmt/format.h>
#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "tarragondale/leadership.h"

namespace tarragondale::leadership {
namespace {

using nlohmann::json;

// Records of primaries and of the controller hold a few names. They are read
// again and again, so a value of another writer must not cost much each time.
constexpr size_t kMaxRecordBytes = 16U << 10U;

failure Invalid(const store::keyspace::item& item) {
  return {result_code::kStoreRowInvalid,
          fmt::format("the value of key {:?} is not a valid record", item.key)};
}

// Parses the value as a JSON object. Returns a discarded value if it is not
// one.
json Object(const store::keyspace::item& item) {
  json value = json::parse(item.value, nullptr, false);
  if (!value.is_object()) {
    value = json(json::value_t::discarded);
  }
  return value;
}

// Reads a field of the object. Returns false if it is missing or has another
// type.
template <typename T>
bool Read(const json& object,
          const char* name,
          bool (json::*is_type)() const noexcept,
          T& value) {
  const auto found = object.find(name);
  if (found == object.end() || !((*found).*is_type)()) {
    return false;
  }
  value = found->template get<T>();
  return true;
}

}  // namespace

std::string PrimaryPrefix() {
  return std::string(kKeyPrefix) + "primary/";
}

std::string VmPrefix() {
  return std::string(kKeyPrefix) + "vm/";
}

std::string PrimaryKey(std::string_view group) {
  return PrimaryPrefix() + std::string(group);
}

std::string VmKey(std::string_view vm) {
  return VmPrefix() + std::string(vm);
}

std::string ControllerKey() {
  return std::string(kKeyPrefix) + "duty/primary";
}

uint64_t HashOfVms(const std::vector<std::string_view>& names) {
  uint64_t hash = names.size();
  for (const std::string_view name : names) {
    hash = XXH3_64bits_withSeed(name.data(), name.size(), hash);
  }
  return hash;
}

std::string EncodePrimary(const primary_record& record) {
  return json{{"member", record.member},
              {"term", record.term},
              {"moving", record.moving},
              {"writer", record.writer},
              {"era", store::keyspace::EraOf(record.epoch)}}
      .dump();
}

std::string EncodeVm(const vm_registration& record) {
  return json{{"name", record.name},
              {"peer_address", record.peer_address},
              {"availability_zone", record.availability_zone},
              {"region", record.region},
              {"incarnation", record.incarnation},
              {"capacity", record.capacity},
              {"stopped", record.stopped}}
      .dump();
}

std::string EncodeController(const controller_record& record) {
  return json{{"holder", record.holder}, {"incarnation", record.incarnation}}
      .dump();
}

result<primary_record> DecodePrimary(const store::keyspace::item& item) {
  if (item.value.size() > kMaxRecordBytes) {
    return Invalid(item);
  }
  const json value = Object(item);
  primary_record record;
  if (value.is_discarded() ||
      !Read(value, "member", &json::is_string, record.member) ||
      !Read(value, "term", &json::is_number_integer, record.term) ||
      !Read(value, "moving", &json::is_boolean, record.moving) ||
      !Read(value, "writer", &json::is_string, record.writer)) {
    return Invalid(item);
  }
  // `era` is optional, since earlier versions don't write it.
  int64_t era = 0;
  Read(value, "era", &json::is_number_integer, era);
  if (era < 0 || era > store::keyspace::EraOf(item.revision)) {
    return Invalid(item);
  }
  record.epoch = store::keyspace::RevisionInEra(
      era, store::keyspace::NumberOf(item.revision));
  return record;
}

result<vm_registration> DecodeVm(const store::keyspace::item& item) {
  const json value = Object(item);
  vm_registration record;
  if (value.is_discarded() ||
      !Read(value, "name", &json::is_string, record.name) ||
      !Read(value, "peer_address", &json::is_string, record.peer_address) ||
      !Read(value, "availability_zone", &json::is_string,
            record.availability_zone) ||
      !Read(value, "region", &json::is_string, record.region) ||
      !Read(value, "incarnation", &json::is_number_integer,
            record.incarnation)) {
    return Invalid(item);
  }
  // `capacity` is optional, since earlier versions don't write it.
  Read(value, "capacity", &json::is_number_integer, record.capacity);
  const auto stopped = value.find("stopped");
  if (stopped != value.end() && stopped->is_object()) {
    for (const auto& [group, epoch] : stopped->items()) {
      if (!epoch.is_number_integer()) {
        return Invalid(item);
      }
      record.stopped[group] = epoch.get<int64_t>();
    }
  }
  return record;
}

result<controller_record> DecodeController(const store::keyspace::item& item) {
  if (item.value.size() > kMaxRecordBytes) {
    return Invalid(item);
  }
  const json value = Object(item);
  controller_record record;
  if (value.is_discarded() ||
      !Read(value, "holder", &json::is_string, record.holder) ||
      !Read(value, "incarnation", &json::is_number_integer,
            record.incarnation)) {
    return Invalid(item);
  }
  record.token = item.revision;
  return record;
}

}  // namespace tarragondale::leadership
