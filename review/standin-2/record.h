// What a case writes to record.txt: what was sent, answered and run.
#ifndef TARRAGONDALE_REVIEW_STANDIN_2_RECORD_H_
#define TARRAGONDALE_REVIEW_STANDIN_2_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>

namespace tarragondale::review {

class record {
 public:
  explicit record(const std::string& path) : out_(path) {}

  /// @brief Writes one line with the time; long texts are cut.
  void Add(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

}  // namespace tarragondale::review

#endif  // TARRAGONDALE_REVIEW_STANDIN_2_RECORD_H_
