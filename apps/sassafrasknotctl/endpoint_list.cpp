#include "endpoint_list.hpp"

#include <sstream>
#include <string>

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

state::Result<std::vector<state::Endpoint>>
ParseEndpointList(std::string_view aText)
{
  std::vector<state::Endpoint> endpoints;
  std::istringstream input{ std::string(aText) };
  int number = 0;
  for (std::string line; std::getline(input, line);) {
    ++number;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const auto endpoint = state::ParseEndpoint(line);
    if (!endpoint) {
      return state::Error{ state::ErrorCode::Malformed,
                           state::Verdict::NotRun,
                           "line " + std::to_string(number) + ": \"" + line +
                             "\" is not IP:PORT" };
    }
    endpoints.push_back(endpoint.value());
  }
  return endpoints;
}

} // namespace sassafrasknotctl
