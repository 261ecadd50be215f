#include "ActiveConfiguration.h"
#include "EndpointText.h"
#include "support/Deployment.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace sequoiakeel;
using nlohmann::json;

namespace {

/** Folder for the files of one test. */
class Folder
{
public:
  Folder()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "operators-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    this->path = pattern;
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  ~Folder() { std::filesystem::remove_all(this->path); }

  std::string Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(this->path + "/" + aName) << aText;
    return this->path + "/" + aName;
  }

  /** Starts a program with its output redirected to a new file. */
  std::unique_ptr<ChildProcess> Start(const std::string& aProgram,
                                      std::vector<std::string> aArguments)
  {
    return std::make_unique<ChildProcess>(
      aProgram, std::move(aArguments), this->OutputFile(++this->runs));
  }

  /** Returns the output of the aRun-th program started, counted from 1. */
  std::string Output(int aRun) const
  {
    std::ifstream file(this->OutputFile(aRun));
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
  }

  /** Runs sequoiakeelctl, waits for it to exit and returns its exit code. */
  int Run(std::vector<std::string> aArguments)
  {
    return this->Start("sequoiakeelctl", std::move(aArguments))->Wait();
  }

  std::string LastOutput() const { return this->Output(this->runs); }

private:
  std::string OutputFile(int aRun) const
  {
    return this->path + "/output-" + std::to_string(aRun);
  }

  std::string path;
  int runs = 0;
};

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
EntryOf(const Deployment& aDeployment, const std::string& aName)
{
  return FormatEndpoint(aDeployment.EndpointOf(aName));
}

std::string
WithDeadline(int aDeadlineMs)
{
  json document = json::parse(SmallConfiguration({ "zone-1" }));
  document["services"][0]["deadline_ms"] = aDeadlineMs;
  return document.dump(2);
}

void
SetStoreMode(Deployment& aDeployment, const std::string& aMode)
{
  aDeployment.Call(
    "store", "POST", "/standin/faults", json{ { "mode", aMode } }.dump());
}

} // namespace

// Guards against a program that prints no usage text, or that reports success
// for an invalid command line.
TEST_CASE("the command line explains itself")
{
  Folder folder;
  CHECK(folder.Run({ "--help" }) == 0);
  CHECK(Contains(folder.LastOutput(), "SEQUOIAKEEL_ENTRY"));
  CHECK(Contains(folder.LastOutput(), "3 lost race"));
  CHECK(folder.Run({ "--version" }) == 0);
  CHECK(Contains(folder.LastOutput(), "0.1"));
  CHECK(folder.Run({}) == 2);
  CHECK(folder.Run({ "get", "--entry", "nowhere" }) == 2);
  CHECK(folder.Run({ "validate", "/no/such/file" }) == 2);
}

// Guards against validation that stops at the first fault, and against an entry
// that starts with invalid settings.
TEST_CASE("faults are reported together with their places")
{
  Folder folder;
  const std::string document = folder.Write("faulty.json",
                                            "{\n"
                                            "  \"cells\": [],\n"
                                            "  \"services\": [\n"
                                            "    {\"name\": \"quote\",\n"
                                            "     \"deadline_ms\": 1}],\n"
                                            "  \"task_classes\": [\n"
                                            "    {\"name\": \"batch\",\n"
                                            "     \"priority\": 101}],\n"
                                            "  \"teams\": [],\n"
                                            "  \"limits\": {\n"
                                            "    \"entries_max\": 0}\n"
                                            "}\n");
  CHECK(folder.Run({ "validate", document, "--json" }) == 2);
  const json report = json::parse(folder.LastOutput());
  std::map<std::string, int> lines;
  for (const json& finding : report.at("findings")) {
    lines[finding.at("place")] = finding.at("line");
  }
  CHECK(lines.at("/services/0/deadline_ms") == 5);
  CHECK(lines.at("/task_classes/0/priority") == 8);
  CHECK(lines.at("/limits/entries_max") == 11);

  const std::string settings = folder.Write(
    "settings.json",
    R"({"name": "entry-1", "zone": 7, "threads": 0, "colour": "red",
        "store": {"address": "127.0.0.1", "port": 1}})");
  const auto entry =
    folder.Start("sequoiakeel-entry", { "--settings", settings, "--check" });
  CHECK(entry->Wait() == 2);
  CHECK(Contains(folder.LastOutput(), "/zone"));
  CHECK(Contains(folder.LastOutput(), "/threads"));
  CHECK(Contains(folder.LastOutput(), "colour"));
}

// Two operators apply changes with the same base through different entries.
// Guards against both being reported as applied, against a lost race that is
// reported without its reason, and against a host that only one entry treats as
// leaving.
TEST_CASE("of two changes one wins, and all entries see a drain")
{
  Deployment deployment;
  Folder folder;
  deployment.StartWorker("worker-1", "zone-1");
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");
  deployment.StartEntry("entry-2", "zone-1");
  const std::string first = EntryOf(deployment, "entry-1");
  const std::string second = EntryOf(deployment, "entry-2");
  const std::string own = folder.Write("a.json", WithDeadline(4000));
  const std::string other = folder.Write("b.json", WithDeadline(3000));

  const auto start = [&](const std::string& aEntry,
                         const std::string& aFile,
                         const std::string& aAuthor) {
    return folder.Start("sequoiakeelctl",
                        { "--entry",
                          aEntry,
                          "apply",
                          aFile,
                          "--base",
                          "1",
                          "--author",
                          aAuthor });
  };
  const auto left = start(first, own, "anna");
  const auto right = start(second, other, "birgit");
  const int leftExit = left->Wait();
  const int rightExit = right->Wait();
  CHECK(leftExit + rightExit == 3);
  const int loser = leftExit == 3 ? 1 : 2;
  const std::string told = folder.Output(loser);
  CHECK(Contains(told, loser == 1 ? "birgit" : "anna"));
  CHECK(Contains(told, "/services/0/deadline_ms"));

  CHECK(folder.Run({ "--entry", second, "drain", "worker-1" }) == 0);
  for (const char* name : { "entry-1", "entry-2" }) {
    CHECK(WaitUntil([&] {
      const json status =
        json::parse(deployment.Call(name, "GET", "/v1/status").body);
      return status.at("configuration_generation") == 3 &&
             status.at("leaving_hosts") == json::array({ "worker-1" });
    }));
  }
  CHECK(folder.Run({ "--entry", first, "undrain", "worker-1" }) == 0);
  CHECK(folder.Run({ "--entry", first, "history" }) == 0);
  CHECK(Contains(folder.LastOutput(), "/leaving_hosts"));
  CHECK(folder.Run({ "--entry", first, "status" }) == 0);
  CHECK(Contains(folder.LastOutput(), "entry-2"));
  // No planner runs, so the cell has no owner; it must be listed all the same.
  CHECK(Contains(folder.LastOutput(), "cell-zone-1  none"));
  CHECK(folder.Run({ "--entry", first, "diff", own }) == 0);
}

// The store carries out a write, but its response is lost. Guards against
// reporting that write as failed, and against applying the change twice when an
// operator repeats the command.
TEST_CASE("a lost answer of the store is not taken for a failure")
{
  Deployment deployment;
  Folder folder;
  deployment.StartWorker("worker-1", "zone-1");
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");
  const std::vector<std::string> apply{
    "--entry", EntryOf(deployment, "entry-1"),
    "apply",   folder.Write("a.json", WithDeadline(4000)),
    "--base",  "1"
  };

  SetStoreMode(deployment, "lose-write-answers");
  CHECK(folder.Run(apply) == 0);
  CHECK(Contains(folder.LastOutput(), "generation 2"));
  SetStoreMode(deployment, "ok");
  CHECK(folder.Run(apply) == 0);
  CHECK(Contains(folder.LastOutput(), "already in force, generation 2"));

  // While the store answers no call at all, no change can be applied.
  SetStoreMode(deployment, "lose-answers");
  const std::string next = folder.Write("b.json", WithDeadline(3000));
  CHECK(folder.Run({ "--entry",
                     EntryOf(deployment, "entry-1"),
                     "apply",
                     next,
                     "--base",
                     "2" }) == 4);
  SetStoreMode(deployment, "ok");
  const json active =
    json::parse(deployment.Call("entry-1", "GET", "/v1/configuration").body);
  CHECK(active.at("generation") == 2);
}
