// Reads a state chart and checks its graph.
#include <algorithm>
#include <optional>

#include "tarragondale/chart.h"

namespace tarragondale::chart {
namespace {

using words = std::vector<std::string_view>;

words SplitWords(std::string_view line) {
  constexpr std::string_view kBlanks = " \t\r";
  words found;
  size_t begin = line.find_first_not_of(kBlanks);
  while (begin != std::string_view::npos) {
    const size_t end =
        std::min(line.find_first_of(kBlanks, begin), line.size());
    found.push_back(line.substr(begin, end - begin));
    begin = line.find_first_not_of(kBlanks, end);
  }
  return found;
}

size_t IndexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? kNone
                              : static_cast<size_t>(found - names.begin());
}

class parser {
 public:
  result<definition> Run(std::string_view text) {
    while (!text.empty() && !problem_) {
      ++line_;
      const size_t end = std::min(text.find('\n'), text.size());
      ReadLine(SplitWords(text.substr(0, end).substr(0, text.find('#'))));
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (!problem_) {
      CheckGraph();
    }
    if (problem_) {
      return *problem_;
    }
    return std::move(chart_);
  }

 private:
  void ReadLine(const words& line) {
    if (line.empty()) {
      return;
    }
    if (line.size() == 4 && line[2] == "->") {
      AddTransition(line[0], line[1], line[3]);
    } else if (line.size() == 2 && line[0] == "name") {
      chart_.name = line[1];
    } else if (line.size() == 2 && line[0] == "state") {
      AddState(line[1]);
    } else if (line.size() == 2 && line[0] == "initial") {
      chart_.initial = StateIndex(line[1]);
      has_initial_ = true;
    } else if (line.size() >= 2 && line[0] == "final") {
      for (size_t i = 1; i < line.size(); ++i) {
        AddFinal(StateIndex(line[i]));
      }
    } else {
      Fail("line is neither a declaration nor a transition");
    }
  }

  void AddState(std::string_view name) {
    if (IndexOf(chart_.states, name) != kNone) {
      Fail("state " + std::string(name) + " is declared twice");
      return;
    }
    chart_.states.emplace_back(name);
    chart_.final_states.push_back(false);
    chart_.next.emplace_back(chart_.events.size(), kNone);
  }

  void AddFinal(size_t state) {
    if (state != kNone) {
      chart_.final_states[state] = true;
    }
  }

  void AddTransition(std::string_view from,
                     std::string_view event,
                     std::string_view to) {
    const size_t from_index = StateIndex(from);
    const size_t to_index = StateIndex(to);
    if (from_index == kNone || to_index == kNone) {
      return;
    }
    size_t& next = chart_.next[from_index][EventIndex(event)];
    if (next != kNone) {
      Fail("state " + std::string(from) + " has two transitions for event " +
           std::string(event));
    }
    next = to_index;
  }

  size_t StateIndex(std::string_view name) {
    const size_t index = IndexOf(chart_.states, name);
    if (index == kNone) {
      Fail("unknown state " + std::string(name));
    }
    return index;
  }

  size_t EventIndex(std::string_view name) {
    const size_t index = IndexOf(chart_.events, name);
    if (index != kNone) {
      return index;
    }
    chart_.events.emplace_back(name);
    for (std::vector<size_t>& row : chart_.next) {
      row.push_back(kNone);
    }
    return chart_.events.size() - 1;
  }

  void CheckGraph() {
    if (chart_.name.empty() || !has_initial_) {
      Fail("name or initial state is missing");
      return;
    }
    const std::vector<bool> reachable = Reachable();
    const std::vector<bool> ending = Ending();
    for (size_t i = 0; i < chart_.states.size(); ++i) {
      if (!reachable[i]) {
        Fail("state " + chart_.states[i] + " is unreachable");
      } else if (!ending[i]) {
        Fail("state " + chart_.states[i] + " can't reach a final state");
      } else if (chart_.final_states[i] && HasSuccessor(i)) {
        Fail("final state " + chart_.states[i] + " has a transition");
      }
    }
  }

  bool HasSuccessor(size_t state) const {
    const auto& row = chart_.next[state];
    return std::any_of(row.begin(), row.end(),
                       [](size_t to) { return to != kNone; });
  }

  // Each round adds states one transition further; `states` rounds suffice.
  std::vector<bool> Reachable() const {
    std::vector<bool> found(chart_.states.size(), false);
    found[chart_.initial] = true;
    for (size_t round = 0; round < found.size(); ++round) {
      ForEachEdge([&](size_t from, size_t to) {
        found[to] = found[to] || found[from];
      });
    }
    return found;
  }

  std::vector<bool> Ending() const {
    std::vector<bool> found = chart_.final_states;
    for (size_t round = 0; round < found.size(); ++round) {
      ForEachEdge([&](size_t from, size_t to) {
        found[from] = found[from] || found[to];
      });
    }
    return found;
  }

  template <typename Visitor>
  void ForEachEdge(const Visitor& visit) const {
    for (size_t from = 0; from < chart_.next.size(); ++from) {
      for (const size_t to : chart_.next[from]) {
        if (to != kNone) {
          visit(from, to);
        }
      }
    }
  }

  void Fail(const std::string& reason) {
    if (!problem_) {
      problem_ = failure{result_code::kSettingInvalid,
                         "chart line " + std::to_string(line_) + ": " + reason};
    }
  }

  definition chart_;
  std::optional<failure> problem_;
  bool has_initial_ = false;
  int line_ = 0;
};

}  // namespace

result<definition> Parse(std::string_view text) {
  return parser().Run(text);
}

}  // namespace tarragondale::chart
