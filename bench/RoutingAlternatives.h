#pragma once

#include "RoutingPolicy.h"

#include <memory>
#include <span>
#include <string_view>

namespace sequoiakeel::bench {

/** Names of the routing policies that are compared with "current". */
std::span<const std::string_view>
RoutingAlternatives();

/** Makes a policy named in RoutingAlternatives, or "naive" or "current". Throws
 * UserError for any other name. Thread safe. */
std::unique_ptr<RoutingPolicy>
MakeRoutingAlternative(std::string_view aName);

} // namespace sequoiakeel::bench
