#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Severity of a log line. */
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** Maximum number of lines of one event per second. Further lines are dropped,
 * and their number is logged. A play of the heaviest day of the users' sites
 * writes 300. */
inline constexpr std::uint64_t kMaxLinesPerSecond = 500;

/** Returns how many lines were dropped since the process started, either over
 * the limit of their event or because the output was not writable. Thread
 * safe. */
std::uint64_t
DroppedLogLines();

/** Sets up logging to standard output. Lines are dropped while the output is
 * full, so that no thread waits for it. Call once, before any thread starts. */
void
StartLogging(std::string_view aProcess, LogLevel aLevel);

/** Sets the minimum level of the lines that are written. Thread safe. */
void
SetLogLevel(LogLevel aLevel);

/** Parses the name of a level from the settings ("debug", "info", "warning",
 * "error"). Returns Info for any other text. */
LogLevel
ParseLogLevel(std::string_view aText);

/**
 * A log line of key=value pairs, written when the object is destroyed.
 *
 *   Event("route").Add("service", name).Add("backend", host).Add("reason",
 * reason);
 *
 * An object must be used by one thread only. Several threads may each write
 * their own lines concurrently.
 */
class Event
{
public:
  /** Starts a line with aName as the value of the key "event". */
  explicit Event(std::string_view aName, LogLevel aLevel = LogLevel::Info);
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;
  /** Writes the line, unless it is below the minimum level, over the limit of
   * its event or the output is full. */
  ~Event();

  /** Appends a key=value pair. A value that is empty or has spaces, quotes,
   * equals signs or control characters is quoted and escaped. */
  Event& Add(std::string_view aKey, std::string_view aValue);
  Event& Add(std::string_view aKey, const char* aValue)
  {
    return this->Add(aKey, std::string_view(aValue));
  }
  Event& Add(std::string_view aKey, std::int64_t aValue);
  Event& Add(std::string_view aKey, std::uint64_t aValue);
  Event& Add(std::string_view aKey, int aValue)
  {
    return this->Add(aKey, static_cast<std::int64_t>(aValue));
  }
  Event& Add(std::string_view aKey, std::uint32_t aValue)
  {
    return this->Add(aKey, static_cast<std::uint64_t>(aValue));
  }
  Event& Add(std::string_view aKey, double aValue);
  Event& Add(std::string_view aKey, bool aValue)
  {
    return this->Add(aKey, std::string_view(aValue ? "true" : "false"));
  }

private:
  std::string name;
  std::string line;
  LogLevel level;
};

} // namespace sequoiakeel
