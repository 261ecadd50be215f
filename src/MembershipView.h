#pragma once

#include "Membership.h"

#include <cstdint>
#include <vector>

namespace sequoiakeel {

/** Interface through which other modules access the membership. All methods are
 * thread safe. */
class MembershipView
{
public:
  virtual ~MembershipView() = default;

  /** Returns this process's own row. */
  virtual MemberRow OwnRow() const = 0;

  /** Returns all members, including this process and suspect members. */
  virtual std::vector<Member> Members() const = 0;

  /** Counts the planners' recent reports about the store; see
   * Membership::CountStoreReports. */
  virtual StoreReports CountStoreReports(
    std::size_t aPlannersExpected) const = 0;

  /** Sets the configuration generation of this process. A higher generation is
   * sent to peers immediately; any other is ignored. */
  virtual void AnnounceGeneration(std::uint64_t aGeneration) = 0;
};

} // namespace sequoiakeel
