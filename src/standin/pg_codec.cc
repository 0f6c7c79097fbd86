// Reads and writes messages of the PostgreSQL protocol.
#include "src/standin/pg_codec.h"

#include <utility>

namespace tarragondale::standin {
namespace {

void PutInt16(std::string& target, uint32_t value) {
  target += static_cast<char>(value >> 8U & 0xFFU);
  target += static_cast<char>(value & 0xFFU);
}

void PutInt32(std::string& target, uint32_t value) {
  PutInt16(target, value >> 16U);
  PutInt16(target, value & 0xFFFFU);
}

void PutText(std::string& target, std::string_view text) {
  target += text;
  target += '\0';
}

// Type size that PostgreSQL states: 8 bytes for int8 and float8, -1 variable.
uint32_t SizeOfType(uint32_t type) {
  return type == kTextOid ? 0xFFFFU : 8U;
}

}  // namespace

std::string_view pg_reader::Take(size_t count) {
  if (count > rest_.size()) {
    throw protocol_error{"message ends early"};
  }
  const std::string_view taken = rest_.substr(0, count);
  rest_.remove_prefix(count);
  return taken;
}

uint8_t pg_reader::Byte() {
  return static_cast<uint8_t>(Take(1)[0]);
}

uint16_t pg_reader::Int16() {
  const uint32_t high = Byte();
  const uint32_t low = Byte();
  return static_cast<uint16_t>(high << 8U | low);
}

uint32_t pg_reader::Int32() {
  const uint32_t high = Int16();
  const uint32_t low = Int16();
  return high << 16U | low;
}

std::string pg_reader::Text() {
  const size_t end = rest_.find('\0');
  if (end == std::string_view::npos) {
    throw protocol_error{"text without end"};
  }
  std::string text(rest_.substr(0, end));
  rest_.remove_prefix(end + 1);
  return text;
}

std::string pg_reader::Bytes(size_t count) {
  return std::string(Take(count));
}

void pg_writer::Add(char type, std::string_view body) {
  bytes_ += type;
  PutInt32(bytes_, static_cast<uint32_t>(body.size() + 4));
  bytes_ += body;
}

void pg_writer::AuthenticationOk() {
  Add('R', std::string_view("\0\0\0\0", 4));
}

void pg_writer::ParameterStatus(std::string_view name, std::string_view value) {
  std::string body;
  PutText(body, name);
  PutText(body, value);
  Add('S', body);
}

void pg_writer::BackendKeyData(uint32_t process, uint32_t secret) {
  std::string body;
  PutInt32(body, process);
  PutInt32(body, secret);
  Add('K', body);
}

void pg_writer::ReadyForQuery(char state) {
  Add('Z', std::string_view(&state, 1));
}

void pg_writer::Error(const sql_error& error, std::string_view severity) {
  std::string body;
  PutText(body, std::string("S").append(severity));
  PutText(body, std::string("V").append(severity));
  PutText(body, "C" + error.sqlstate);
  PutText(body, "M" + error.message);
  body += '\0';
  Add('E', body);
}

void pg_writer::RowDescription(const std::vector<sql_column>& columns) {
  std::string body;
  PutInt16(body, static_cast<uint32_t>(columns.size()));
  for (const sql_column& column : columns) {
    PutText(body, column.name);
    PutInt32(body, 0);  // table
    PutInt16(body, 0);  // column of the table
    PutInt32(body, column.type);
    PutInt16(body, SizeOfType(column.type));
    PutInt32(body, 0xFFFFFFFFU);  // type modifier: none
    PutInt16(body, 0);            // text format
  }
  Add('T', body);
}

void pg_writer::DataRow(const std::vector<std::optional<std::string>>& row) {
  std::string body;
  PutInt16(body, static_cast<uint32_t>(row.size()));
  for (const auto& cell : row) {
    PutInt32(body, cell ? static_cast<uint32_t>(cell->size()) : 0xFFFFFFFFU);
    body += cell.value_or("");
  }
  Add('D', body);
}

void pg_writer::ParameterDescription(const std::vector<uint32_t>& types) {
  std::string body;
  PutInt16(body, static_cast<uint32_t>(types.size()));
  for (const uint32_t type : types) {
    PutInt32(body, type);
  }
  Add('t', body);
}

void pg_writer::CommandComplete(std::string_view tag) {
  std::string body;
  PutText(body, tag);
  Add('C', body);
}

void pg_writer::Plain(char type) {
  Add(type, {});
}

std::string pg_writer::Take() {
  return std::exchange(bytes_, std::string());
}

}  // namespace tarragondale::standin
