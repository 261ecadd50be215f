#include "Log.h"

#include <atomic>
#include <chrono>
#include <climits>
#include <cstdio>
#include <easylogging++.h>
#include <functional>
#include <map>
#include <mutex>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace sequoiakeel {

namespace {

std::atomic<LogLevel> gLevel{ LogLevel::Info };

std::atomic<std::uint64_t> gDropped{ 0 };

/** Number of lines of one event in its current one-second period. */
struct EventBudget
{
  std::chrono::steady_clock::time_point second;
  std::uint64_t lines = 0;
  std::uint64_t dropped = 0;
};

std::mutex gBudgetMutex;
std::map<std::string, EventBudget, std::less<>> gBudgets;

/** Counts a line of an event and returns whether it may be written. If the line
 * starts a new one-second period, aDropped is set to the number of lines
 * dropped in the event's previous period; otherwise it is left unchanged. */
bool
TakeBudget(const std::string& aEvent, std::uint64_t& aDropped)
{
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard lock(gBudgetMutex);
  EventBudget& budget = gBudgets[aEvent];
  if (now - budget.second >= std::chrono::seconds(1)) {
    aDropped = budget.dropped;
    budget = EventBudget{ now, 0, 0 };
  }
  if (++budget.lines <= kMaxLinesPerSecond) {
    return true;
  }
  ++budget.dropped;
  ++gDropped;
  return false;
}

/** Writes lines to standard output and drops those whose write would block.
 * Lines are truncated to PIPE_BUF bytes, since a write of up to that size does
 * not block on a pipe that is ready. */
class NonBlockingOutput : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    std::string line = aData->logMessage()->logger()->logBuilder()->build(
      aData->logMessage(), true);
    if (line.size() > PIPE_BUF) {
      line.resize(PIPE_BUF - 1);
      line += '\n';
    }
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    const bool ready =
      poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    if (!ready || write(STDOUT_FILENO, line.data(), line.size()) < 0) {
      ++gDropped;
    }
  }
};

bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (const char character : aValue) {
    const auto code = static_cast<unsigned char>(character);
    if (code <= ' ' || character == '"' || character == '=' || code == 0x7f) {
      return true;
    }
  }
  return false;
}

void
AppendQuoted(std::string& aLine, std::string_view aValue)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  aLine += '"';
  for (const char character : aValue) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aLine += '\\';
      aLine += character;
      continue;
    }
    if (code < ' ' || code == 0x7f) {
      aLine += "\\x";
      aLine += kHexDigits[code >> 4];
      aLine += kHexDigits[code & 15];
      continue;
    }
    aLine += character;
  }
  aLine += '"';
}

} // namespace

void
StartLogging(std::string_view aProcess, LogLevel aLevel)
{
  gLevel = aLevel;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
    el::ConfigurationType::Format,
    "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level process=" +
      std::string(aProcess) + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<NonBlockingOutput>(
    "NonBlockingOutput");
}

void
SetLogLevel(LogLevel aLevel)
{
  gLevel = aLevel;
}

LogLevel
ParseLogLevel(std::string_view aText)
{
  if (aText == "debug") {
    return LogLevel::Debug;
  }
  if (aText == "warning") {
    return LogLevel::Warning;
  }
  if (aText == "error") {
    return LogLevel::Error;
  }
  return LogLevel::Info;
}

std::uint64_t
DroppedLogLines()
{
  return gDropped;
}

Event::Event(std::string_view aName, LogLevel aLevel)
  : name(aName)
  , level(aLevel)
{
  this->line = "event=";
  this->line += aName;
}

Event::~Event()
{
  if (this->level < gLevel.load(std::memory_order_relaxed)) {
    return;
  }
  std::uint64_t dropped = 0;
  if (!TakeBudget(this->name, dropped)) {
    return;
  }
  if (dropped > 0) {
    LOG(WARNING) << "event=log_lines_dropped of=" << this->name
                 << " lines=" << dropped;
  }
  switch (this->level) {
    case LogLevel::Debug:
      LOG(DEBUG) << this->line;
      break;
    case LogLevel::Info:
      LOG(INFO) << this->line;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << this->line;
      break;
    case LogLevel::Error:
      LOG(ERROR) << this->line;
      break;
  }
}

Event&
Event::Add(std::string_view aKey, std::string_view aValue)
{
  this->line += ' ';
  this->line += aKey;
  this->line += '=';
  if (NeedsQuotes(aValue)) {
    AppendQuoted(this->line, aValue);
  } else {
    this->line += aValue;
  }
  return *this;
}

Event&
Event::Add(std::string_view aKey, std::int64_t aValue)
{
  return this->Add(aKey, std::string_view(std::to_string(aValue)));
}

Event&
Event::Add(std::string_view aKey, std::uint64_t aValue)
{
  return this->Add(aKey, std::string_view(std::to_string(aValue)));
}

Event&
Event::Add(std::string_view aKey, double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", aValue);
  return this->Add(aKey, std::string_view(text));
}

} // namespace sequoiakeel
