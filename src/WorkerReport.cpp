#include "WorkerReport.h"

namespace sequoiakeel {

const char*
ToString(WorkerCommandResult aResult)
{
  switch (aResult) {
    case WorkerCommandResult::Done:
      return "done";
    case WorkerCommandResult::Fenced:
      return "fenced";
    case WorkerCommandResult::OldRun:
      return "old_run";
    case WorkerCommandResult::Expired:
      return "expired";
    case WorkerCommandResult::NoCapacity:
      return "no_room";
    case WorkerCommandResult::TicketInvalid:
      return "ticket_invalid";
    case WorkerCommandResult::Refused:
      return "refused";
    case WorkerCommandResult::WrongWorker:
      return "wrong_worker";
    case WorkerCommandResult::Invalid:
      return "invalid";
    case WorkerCommandResult::NotSent:
      return "not_sent";
    case WorkerCommandResult::Unknown:
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
