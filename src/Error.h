#pragma once

#include <stdexcept>
#include <string>

namespace sequoiakeel {

/** Invalid input of an operator or a caller. The message says what to
 * change. */
class UserError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** A violated invariant of the program. The process should stop. */
class InternalError : public std::logic_error
{
public:
  using std::logic_error::logic_error;
};

/** Throws InternalError unless aCondition holds. Thread safe. */
inline void
InternalAssert(bool aCondition, const char* aMessage)
{
  if (!aCondition) {
    throw InternalError(aMessage);
  }
}

/** Throws UserError unless aCondition holds. Thread safe. */
inline void
UserAssert(bool aCondition, const std::string& aMessage)
{
  if (!aCondition) {
    throw UserError(aMessage);
  }
}

} // namespace sequoiakeel
