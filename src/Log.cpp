#include "Log.h"

#include <atomic>
#include <cstdio>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace sequoiakeel {

namespace {

std::atomic<LogLevel> gLevel{ LogLevel::Info };

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
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
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

Event::Event(std::string_view aName, LogLevel aLevel)
  : level(aLevel)
{
  this->line = "event=";
  this->line += aName;
}

Event::~Event()
{
  if (this->level < gLevel.load(std::memory_order_relaxed)) {
    return;
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
