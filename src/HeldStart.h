#pragma once

#include "TaskName.h"

#include <cstdint>
#include <string>

namespace sequoiakeel {

/** A start of a long-running task that is sent once its assignment is durable.
 */
struct HeldStart
{
  std::string worker;
  /** Incarnation of the worker for which the start was decided on. */
  std::uint64_t incarnation = 0;
  TaskName name;
  std::uint64_t run = 0;
  /** Number of the progress change that has to be durable. */
  std::uint64_t change = 0;
};

} // namespace sequoiakeel
