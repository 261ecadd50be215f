#pragma once

#include "CellCommands.h"

#include <string>

namespace sequoiakeel {

/**
 * One compare-and-swap write whose answer may be lost. It is sent again with
 * the same bytes until it is known to have taken effect or to be superseded.
 * The value must be unique to this write, so that reading the key back tells.
 * Not thread safe.
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
    /** The key has another value than before and than this write's. */
    Superseded,
  };

  /** Starts a write. No write may be in progress. */
  void Start(Outbox& aOutbox,
             std::string aKey,
             std::string aValue,
             std::uint64_t aExpectedVersion,
             std::uint64_t aLease = kNoLease);

  /** Takes a result; returns whether it belonged to this write. */
  bool OnResult(Outbox& aOutbox, const StoreReply& aResult, TimePoint aNow);

  /** Sends again when the back-off is over. */
  void Tick(Outbox& aOutbox, TimePoint aNow);

  /** Forgets the write; a result that still comes is ignored. */
  void Reset();

  State Current() const { return this->state; }
  bool Busy() const;
  const std::string& Key() const { return this->command.key; }
  /** Version written; valid in state Applied. */
  std::uint64_t Version() const { return this->version; }
  /** What the key holds instead; valid in state Superseded. Version 0: the key
   * is absent. */
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
