#pragma once

#include "CellCommands.h"

#include <string>

namespace sequoiakeel {

/**
 * A compare-and-swap write that tolerates lost replies. The write is resent
 * with the same bytes until it is known to have taken effect or to have been
 * superseded. The value must be unique to this write, because the write is
 * recognized by its value when the key is read back. Not thread safe.
 */
class CasWrite
{
public:
  enum class State : std::uint8_t
  {
    Idle,
    Writing,
    ReadingBack,
    Waiting,
    Applied,
    /** Another write changed the key: its version is not the expected one and
     * its value is not that of this write. */
    Superseded,
  };

  /** Starts a write. Precondition: no write is in progress. */
  void Start(Outbox& aOutbox,
             std::string aKey,
             std::string aValue,
             std::uint64_t aExpectedVersion,
             std::uint64_t aLease = kNoLease);

  /** Handles a store reply. Returns whether the reply belongs to this write. */
  bool OnResult(Outbox& aOutbox, const StoreReply& aResult, TimePoint aNow);

  /** Resends the write or reads the key back once the back-off has elapsed. */
  void Tick(Outbox& aOutbox, TimePoint aNow);

  /** Abandons the write. A reply that arrives later is ignored. */
  void Reset();

  State Current() const { return this->state; }
  bool Busy() const;
  const std::string& Key() const { return this->command.key; }
  /** Version written; valid in state Applied. */
  std::uint64_t Version() const { return this->version; }
  /** Contents of the key as read back; valid in state Superseded. Version 0
   * means that the key is absent. */
  const StoreValue& Other() const { return this->other; }

private:
  void Send(Outbox& aOutbox);
  void ReadBack(Outbox& aOutbox);
  void Resolve(Outbox& aOutbox, const StoreReply& aResult);
  void Wait(TimePoint aNow, bool aReadFirst);

  State state = State::Idle;
  StoreCommand command;
  std::uint64_t pendingId = 0;
  std::uint64_t version = 0;
  StoreValue other;
  TimePoint retryAt;
  bool readFirst = false;
  Duration backoff{};
};

} // namespace sequoiakeel
