#ifndef SASSAFRASKNOTCTL_ENDPOINT_LIST_HPP
#define SASSAFRASKNOTCTL_ENDPOINT_LIST_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"

#include <string_view>
#include <vector>

namespace sassafrasknotctl {

/// @brief Parses a list of endpoints.
/// @param aText one IP:PORT per line; empty lines and lines that start with #
/// are skipped
/// @return the endpoints, or Malformed with the number of the wrong line
sassafrasknot::state::Result<std::vector<sassafrasknot::state::Endpoint>>
ParseEndpointList(std::string_view aText);

} // namespace sassafrasknotctl

#endif
