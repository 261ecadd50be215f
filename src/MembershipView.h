#pragma once

#include "Membership.h"

#include <cstdint>
#include <vector>

namespace sequoiakeel {

/** What other modules ask of the membership. All methods are thread safe. */
class MembershipView
{
public:
  virtual ~MembershipView() = default;

  /** Returns this process's own row. */
  virtual MemberRow OwnRow() const = 0;

  /** Returns all members with this process, suspects included. */
  virtual std::vector<Member> Members() const = 0;

  /** Counts the planners' fresh reports about the store. */
  virtual StoreReports CountStoreReports(
    std::size_t aPlannersExpected) const = 0;

  /** Sets the own configuration generation and, if it is new, pushes it to
   * peers at once. */
  virtual void AnnounceGeneration(std::uint64_t aGeneration) = 0;
};

} // namespace sequoiakeel
