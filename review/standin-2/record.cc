// Record of a case.
#include "review/standin-2/record.h"

#include "review/standin-2/lines.h"

namespace tarragondale::review {

void record::Add(const std::string& text) {
  constexpr size_t kLongest = 200;
  const std::lock_guard lock(mutex_);
  out_ << NowMs() << " ms  " << text.substr(0, kLongest)
       << (text.size() > kLongest ? "..." : "") << '\n';
  out_.flush();
}

}  // namespace tarragondale::review
