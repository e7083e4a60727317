#include "tools/ctl/explain_command.h"

#include <iostream>

#include "tools/ctl/explanation.h"
#include "tools/ctl/log_reader.h"

namespace cardamom {

int ExplainRequest(const CtlOptions& options) {
  if (options.arguments.size() < 2) {
    std::cerr << "explain needs a request's id and at least one log\n";
    return kExitUsage;
  }
  auto log = ReadLogFiles({options.arguments.begin() + 1, options.arguments.end()});
  if (!log) {
    std::cerr << log.error().detail << "\n";
    return kExitUsage;
  }
  const auto explanation = Explain(std::move(log->events), options.arguments.front());
  std::cout << FormatExplanation(explanation);
  return explanation.request_events.empty() ? kExitNotFound : kExitOk;
}

}  // namespace cardamom
