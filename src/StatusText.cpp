#include "StatusText.h"

#include "Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace sequoiakeel {

using nlohmann::json;

namespace {

using Row = std::vector<std::string>;

/** Formats rows as a table with aligned columns; the first row is the heading.
 * Precondition: there is at least one row, and none is longer than the first.
 */
std::string
Table(const std::vector<Row>& aRows)
{
  std::vector<std::size_t> widths(aRows.front().size());
  for (const Row& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string
Number(const json& aObject, const char* aName)
{
  return std::to_string(aObject.value(aName, std::uint64_t{ 0 }));
}

std::string
MemberState(const json& aMember)
{
  std::string state = aMember.value("suspect", false) ? "suspect" : "up";
  if (aMember.value("leaving", false)) {
    state = "leaving";
  }
  return aMember.value("store_reachable", true) ? state
                                                : state + ", store unreachable";
}

std::string
MembersTable(const json& aStatus)
{
  std::vector<Row> rows{
    { "MEMBER", "ROLE", "ZONE", "GENERATION", "LOAD", "STATE" }
  };
  for (const json& member : aStatus.at("members")) {
    rows.push_back(Row{ member.value("name", ""),
                        member.value("role", ""),
                        member.value("zone", ""),
                        Number(member, "configuration_generation"),
                        Number(member, "load_permille") + "/1000",
                        MemberState(member) });
  }
  std::sort(rows.begin() + 1, rows.end());
  return Table(rows);
}

std::string
Free(const json& aCell)
{
  const json free = aCell.value("free", json::object());
  return Number(free, "cpu_millis") + "m cpu, " + Number(free, "memory_mb") +
         " MB, " + Number(free, "accelerators") + " acc";
}

std::string
CellsTable(const json& aStatus, const std::vector<std::string>& aCells)
{
  std::set<std::string> open(aCells.begin(), aCells.end());
  std::vector<Row> rows{
    { "CELL", "OWNER", "EPOCH", "WORKERS", "QUEUED", "RUNNING", "FREE" }
  };
  for (const json& cell : aStatus.at("cells")) {
    rows.push_back(Row{ cell.value("cell", ""),
                        cell.value("planner", ""),
                        Number(cell, "epoch"),
                        Number(cell, "workers"),
                        Number(cell, "tasks_queued"),
                        Number(cell, "tasks_running"),
                        Free(cell) });
    open.erase(cell.value("cell", ""));
  }
  for (const std::string& cell : open) {
    rows.push_back(Row{ cell, "none", "-", "-", "-", "-", "-" });
  }
  std::sort(rows.begin() + 1, rows.end());
  return Table(rows);
}

} // namespace

std::string
StatusText(std::string_view aBody, const std::vector<std::string>& aCells)
{
  try {
    const json status = json::parse(aBody);
    std::string text = "entry " + status.value("entry", "") +
                       ", configuration generation " +
                       Number(status, "configuration_generation") + "\n\n";
    text += MembersTable(status) + "\n" + CellsTable(status, aCells);
    text += "\nleaving hosts:";
    const auto leaving =
      status.value("leaving_hosts", std::vector<std::string>{});
    for (const std::string& host : leaving) {
      text += " " + host;
    }
    return text + (leaving.empty() ? " none\n" : "\n");
  } catch (const json::exception& error) {
    throw UserError(std::string("not a status: ") + error.what());
  }
}

} // namespace sequoiakeel
