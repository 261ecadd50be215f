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

/** Most lines of one event in a second; further ones are counted, and the count
 * is logged. A play of the heaviest day of the users' sites writes 300. */
inline constexpr std::uint64_t kMaxLinesPerSecond = 500;

/** Returns how many lines were left out since the start: over the limit of
 * their event, or because the output was full. Thread safe. */
std::uint64_t
DroppedLogLines();

/** Sets up logging to standard output. A line is left out rather than waited
 * for while the output is full. Call once, before any thread starts. */
void
StartLogging(std::string_view aProcess, LogLevel aLevel);

/** Sets the lowest level that is written. Thread safe. */
void
SetLogLevel(LogLevel aLevel);

/** Reads a level's name as the settings have it ("debug", "info", "warning",
 * "error"); other text gives Info. */
LogLevel
ParseLogLevel(std::string_view aText);

/**
 * One log line of key=value pairs, written when the object goes out of scope.
 *
 *   Event("route").Add("service", name).Add("backend", host).Add("reason",
 * reason);
 *
 * An object belongs to one thread; several threads may write lines at a time.
 */
class Event
{
public:
  /** aName becomes the value of the key "event". */
  explicit Event(std::string_view aName, LogLevel aLevel = LogLevel::Info);
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;
  /** Writes the line. */
  ~Event();

  /** Adds a pair. A value with spaces, quotes or control characters is quoted
   * and escaped. */
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
