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

/** Adds findings with the source line of the value that they refer to. */
class FindingReporter
{
public:
  FindingReporter(Findings& aFindings, const JsonPositions& aPositions)
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
FieldPointer(const char* aList, std::size_t aIndex, const char* aField)
{
  return "/" + std::string(aList) + "/" + std::to_string(aIndex) + "/" + aField;
}

template<class Item>
void
CheckUniqueNames(std::span<const Item> aItems,
                 const char* aList,
                 FindingReporter& aReport)
{
  std::map<std::string_view, std::size_t> first;
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    const auto [found, inserted] = first.emplace(aItems[i].name, i);
    if (inserted) {
      continue;
    }
    aReport.Add(FieldPointer(aList, i, "name"),
                "duplicate name, already used by /" + std::string(aList) + "/" +
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

/** Checks that no rack belongs to two cells of the same zone, since a worker
 * belongs to exactly one cell. A cell without racks covers the whole zone. */
void
CheckCells(const Configuration& aConfiguration, FindingReporter& aReport)
{
  const std::vector<Cell>& cells = aConfiguration.cells;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (cells[i].zone != cells[j].zone || !SharesRack(cells[i], cells[j])) {
        continue;
      }
      aReport.Add(FieldPointer("cells", i, "racks"),
                  "shares a rack in zone " + cells[i].zone + " with cell " +
                    cells[j].name);
    }
  }
}

void
CheckServices(const Configuration& aConfiguration, FindingReporter& aReport)
{
  const std::set<std::string> leaving(aConfiguration.leavingHosts.begin(),
                                      aConfiguration.leavingHosts.end());
  for (std::size_t i = 0; i < aConfiguration.services.size(); ++i) {
    const Service& service = aConfiguration.services[i];
    if (service.deadlineMs < kMinServiceDeadlineMs) {
      aReport.Add(FieldPointer("services", i, "deadline_ms"),
                  "must be at least " + std::to_string(kMinServiceDeadlineMs) +
                    " ms, the minimum network round-trip time");
    }
    if (service.slotsPerWorker > aConfiguration.limits.connectionsPerWorker) {
      aReport.Add(FieldPointer("services", i, "slots_per_worker"),
                  "must not exceed limits.connections_per_worker, " +
                    std::to_string(aConfiguration.limits.connectionsPerWorker));
    }
    const bool noHostLeft =
      !service.hosts.empty() && std::all_of(service.hosts.begin(),
                                            service.hosts.end(),
                                            [&](const std::string& aHost) {
                                              return leaving.contains(aHost);
                                            });
    if (noHostLeft) {
      aReport.Add(FieldPointer("services", i, "hosts"),
                  "all hosts of the service are in leaving_hosts");
    }
  }
}

void
CheckLimits(const Configuration& aConfiguration, FindingReporter& aReport)
{
  const Limits& limits = aConfiguration.limits;
  if (limits.connectionsPerWorker > kMaxWorkerConnections) {
    aReport.Add("/limits/connections_per_worker",
                "must not exceed " + std::to_string(kMaxWorkerConnections) +
                  ", the maximum number of connections of a worker");
  }
  if (limits.entriesMax > limits.connectionsPerWorker) {
    aReport.Add("/limits/entries_max",
                "must not exceed limits.connections_per_worker, or an entry "
                "would have no connection to a worker");
  }
}

void
CheckCrossFieldRules(const Configuration& aConfiguration,
                     FindingReporter& aReport)
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
    // Skip the checks of cross-field rules, which need a parsed document. The
    // findings of the schema check already report why the document cannot be
    // parsed.
    return findings;
  }
  const JsonPositions positions = ScanJsonPositions(aText);
  FindingReporter report(findings, positions);
  CheckCrossFieldRules(configuration, report);
  return findings;
}

Configuration
ParseConfiguration(std::string_view aText)
{
  return nlohmann::json::parse(aText).get<Configuration>();
}

} // namespace sequoiakeel
