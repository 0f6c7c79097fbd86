// Session values and prepared statements that the entry VM keeps.
#include "tarragondale/hosting.h"

namespace tarragondale::hosting {

using interactive::statement_kind;

// Applies a statement that succeeded to what is kept for the session.
void forwarder::Keep(session& of,
                     const interactive::caller_statement& statement) {
  if (statement.kind == statement_kind::kSet) {
    const auto [at, added] = of.values.try_emplace(statement.name);
    of.kept_bytes += added ? at->first.size() : 0;
    of.kept_bytes += statement.argument.size() - at->second.size();
    at->second = statement.argument;
  } else if (statement.kind == statement_kind::kPrepare) {
    const auto [at, added] = of.prepared.try_emplace(statement.name);
    of.kept_bytes += added ? at->first.size() : 0;
    of.kept_bytes += statement.argument.size() - at->second.shape.size();
    at->second = {statement.name, statement.argument, statement.writes};
  } else if (statement.kind == statement_kind::kDeallocate) {
    const auto known = of.prepared.find(statement.name);
    if (known != of.prepared.end()) {
      of.kept_bytes -= known->first.size() + known->second.shape.size();
      of.prepared.erase(known);
    }
  }
}

}  // namespace tarragondale::hosting
