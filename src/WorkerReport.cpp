#include "WorkerReport.h"

namespace sequoiakeel {

const char*
ToString(OrderResult aResult)
{
  switch (aResult) {
    case OrderResult::Done:
      return "done";
    case OrderResult::Fenced:
      return "fenced";
    case OrderResult::OldRun:
      return "old_run";
    case OrderResult::Expired:
      return "expired";
    case OrderResult::NoRoom:
      return "no_room";
    case OrderResult::TicketInvalid:
      return "ticket_invalid";
    case OrderResult::Refused:
      return "refused";
    case OrderResult::WrongWorker:
      return "wrong_worker";
    case OrderResult::Invalid:
      return "invalid";
    case OrderResult::NotSent:
      return "not_sent";
    case OrderResult::Unknown:
      return "unknown";
  }
  return "";
}

const char*
ToString(RunEnd aEnd)
{
  switch (aEnd) {
    case RunEnd::Done:
      return "done";
    case RunEnd::Failed:
      return "failed";
    case RunEnd::Stopped:
      return "stopped";
    case RunEnd::LeaseExpired:
      return "lease_expired";
    case RunEnd::GangBroken:
      return "gang_broken";
    case RunEnd::GangIncomplete:
      return "gang_incomplete";
  }
  return "";
}

} // namespace sequoiakeel
