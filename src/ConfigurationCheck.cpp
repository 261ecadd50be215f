#include "ConfigurationCheck.h"

#include "JsonPositions.h"
#include "SchemaCheck.h"
#include "generated/ConfigurationJson.h"
#include "generated/SchemaText.h"

#include <algorithm>
#include <map>
#include <set>
#include <span>

namespace sequoiakeel {

namespace {

/** Collects findings with the lines of one text. */
class Report
{
public:
  Report(Findings& aFindings, const JsonPositions& aPositions)
    : findings(aFindings)
    , positions(aPositions)
  {
  }

  void Add(const std::string& aPlace, std::string aMessage)
  {
    this->findings.Add(
      aPlace, std::move(aMessage), this->positions.LineOf(aPlace));
  }

private:
  Findings& findings;
  const JsonPositions& positions;
};

std::string
Place(const char* aList, std::size_t aIndex, const char* aField)
{
  return "/" + std::string(aList) + "/" + std::to_string(aIndex) + "/" + aField;
}

template<class Item>
void
CheckUniqueNames(std::span<const Item> aItems,
                 const char* aList,
                 Report& aReport)
{
  std::map<std::string_view, std::size_t> first;
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    const auto [found, inserted] = first.emplace(aItems[i].name, i);
    if (inserted) {
      continue;
    }
    aReport.Add(Place(aList, i, "name"),
                "the name is taken by /" + std::string(aList) + "/" +
                  std::to_string(found->second));
  }
}

bool
SharesRack(const Cell& aLeft, const Cell& aRight)
{
  if (aLeft.racks.empty() || aRight.racks.empty()) {
    return true;
  }
  return std::any_of(
    aLeft.racks.begin(), aLeft.racks.end(), [&](const std::string& aRack) {
      return std::find(aRight.racks.begin(), aRight.racks.end(), aRack) !=
             aRight.racks.end();
    });
}

/** A worker belongs to one cell, so two cells of a zone must not share a rack.
 */
void
CheckCells(const Configuration& aConfiguration, Report& aReport)
{
  const std::vector<Cell>& cells = aConfiguration.cells;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (cells[i].zone != cells[j].zone || !SharesRack(cells[i], cells[j])) {
        continue;
      }
      aReport.Add(Place("cells", i, "racks"),
                  "shares a rack of zone " + cells[i].zone + " with cell " +
                    cells[j].name);
    }
  }
}

void
CheckServices(const Configuration& aConfiguration, Report& aReport)
{
  const std::set<std::string> leaving(aConfiguration.leavingHosts.begin(),
                                      aConfiguration.leavingHosts.end());
  for (std::size_t i = 0; i < aConfiguration.services.size(); ++i) {
    const Service& service = aConfiguration.services[i];
    if (service.deadlineMs < kMinServiceDeadlineMs) {
      aReport.Add(Place("services", i, "deadline_ms"),
                  "is below the round trip of " +
                    std::to_string(kMinServiceDeadlineMs) + " ms");
    }
    if (service.slotsPerWorker > aConfiguration.limits.connectionsPerWorker) {
      aReport.Add(Place("services", i, "slots_per_worker"),
                  "is above limits.connections_per_worker, " +
                    std::to_string(aConfiguration.limits.connectionsPerWorker));
    }
    const bool noHostLeft =
      !service.hosts.empty() && std::all_of(service.hosts.begin(),
                                            service.hosts.end(),
                                            [&](const std::string& aHost) {
                                              return leaving.contains(aHost);
                                            });
    if (noHostLeft) {
      aReport.Add(Place("services", i, "hosts"),
                  "every host of the service is in leaving_hosts");
    }
  }
}

void
CheckLimits(const Configuration& aConfiguration, Report& aReport)
{
  const Limits& limits = aConfiguration.limits;
  if (limits.connectionsPerWorker > kWorkerConnections) {
    aReport.Add("/limits/connections_per_worker",
                "a worker takes " + std::to_string(kWorkerConnections) +
                  " connections at most");
  }
  if (limits.entriesMax > limits.connectionsPerWorker) {
    aReport.Add("/limits/entries_max",
                "leaves an entry no connection to a worker");
  }
}

void
CheckAcrossFields(const Configuration& aConfiguration, Report& aReport)
{
  CheckUniqueNames(
    std::span<const Cell>(aConfiguration.cells), "cells", aReport);
  CheckUniqueNames(
    std::span<const Service>(aConfiguration.services), "services", aReport);
  CheckUniqueNames(std::span<const TaskClass>(aConfiguration.taskClasses),
                   "task_classes",
                   aReport);
  CheckUniqueNames(
    std::span<const Team>(aConfiguration.teams), "teams", aReport);
  CheckCells(aConfiguration, aReport);
  CheckServices(aConfiguration, aReport);
  CheckLimits(aConfiguration, aReport);
}

} // namespace

Findings
CheckConfiguration(std::string_view aText)
{
  Findings findings = CheckAgainstSchema(aText, schema_text::kConfiguration);
  Configuration configuration;
  try {
    configuration = ParseConfiguration(aText);
  } catch (const std::exception&) {
    // The schema's findings name the fault; rules across fields need a document
    // that can be read.
    return findings;
  }
  const JsonPositions positions = ScanJsonPositions(aText);
  Report report(findings, positions);
  CheckAcrossFields(configuration, report);
  return findings;
}

Configuration
ParseConfiguration(std::string_view aText)
{
  return nlohmann::json::parse(aText).get<Configuration>();
}

} // namespace sequoiakeel
