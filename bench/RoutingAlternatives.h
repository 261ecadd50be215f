#pragma once

#include "RoutingPolicy.h"

#include <memory>
#include <span>
#include <string_view>

namespace sequoiakeel::bench {

/** Names of the routing policies that were weighed against "current". */
std::span<const std::string_view>
RoutingAlternatives();

/** Makes a policy of RoutingAlternatives, "naive" or "current". Throws
 * UserError for another name. Thread safe. */
std::unique_ptr<RoutingPolicy>
MakeRoutingAlternative(std::string_view aName);

} // namespace sequoiakeel::bench
