// Runs cardamomctl against real proxies and checks its output and exit codes.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "bench/cluster/cluster.h"
#include "tools/ctl/ctl_options.h"

namespace cardamom {
namespace {

class CtlTest : public testing::Test {
 protected:
  CtlTest() : m_cluster({.proxies = 2}) { m_cluster.AddGroup("g"); }

  // Runs cardamomctl and keeps the first line of its output. Returns its exit code, or -1 if it
  // does not end within 10 s.
  int Run(std::vector<std::string> arguments) {
    const auto programs =
        std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path();
    arguments.push_back("--proxies");
    arguments.push_back(m_cluster.proxy(0).operations_address.ToString() + "," +
                        m_cluster.proxy(1).operations_address.ToString());
    Process process((programs / "cardamomctl").string(), arguments,
                    m_cluster.log_directory() + "/ctl");
    m_first_line = process.ReadLine();
    return process.Wait(Millis(10'000)).value_or(-1);
  }

  // Writes a file and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text) {
    const auto path = m_cluster.log_directory() + "/" + name;
    std::ofstream(path) << text;
    return path;
  }

  Cluster m_cluster;
  std::string m_first_line;
};

TEST_F(CtlTest, ChangesRecords) {
  auto record = m_cluster.RecordOf("g");
  const auto good = WriteFile("good.json", FormatRecord(record));
  const auto bad = WriteFile("bad.json", R"({"schema":2})");
  EXPECT_EQ(Run({"check", good}), kExitOk);
  EXPECT_EQ(Run({"check", bad}), kExitInvalid);
  EXPECT_EQ(Run({"check", "/nowhere"}), kExitUsage);
  EXPECT_EQ(Run({"submit", bad}), kExitInvalid);
  EXPECT_EQ(Run({"submit", good}), kExitConflict);
  EXPECT_EQ(Run({"replace", good, "--revision", "7"}), kExitConflict);
  EXPECT_EQ(Run({"replace", good, "--revision", "1", "--change-id", "c1"}), kExitOk);
  EXPECT_EQ(m_first_line, "accepted at revision 2");
  // A change that is sent again with the same id takes effect once.
  EXPECT_EQ(Run({"replace", good, "--revision", "1", "--change-id", "c1"}), kExitOk);
  EXPECT_EQ(m_first_line, "accepted at revision 2");
  EXPECT_EQ(Run({"withdraw", "none", "--revision", "1"}), kExitNotFound);
  EXPECT_EQ(Run({"withdraw", "g", "--revision", "2"}), kExitOk);
  ASSERT_TRUE(m_cluster.WaitForStatus(
      0, [](const ProxyStatus& status) { return status.groups.empty(); }, Millis(5000)));
  EXPECT_EQ(Run({"show", "g"}), kExitNotFound);
}

TEST_F(CtlTest, ReadOnlyCommands) {
  EXPECT_EQ(Run({"list"}), kExitOk);
  EXPECT_EQ(m_first_line, "revision 1");
  EXPECT_EQ(Run({"show", "g"}), kExitOk);
  EXPECT_EQ(Run({"status"}), kExitOk);
  EXPECT_TRUE(m_first_line.starts_with("vm vm0  ready"));
  const auto page = m_cluster.log_directory() + "/timeline.html";
  EXPECT_EQ(Run({"timeline", "--format", "html", "--output", page}), kExitOk);
  std::ifstream file(page);
  const std::string html(std::istreambuf_iterator<char>(file), {});
  EXPECT_NE(html.find("primary_promoted"), std::string::npos);
  EXPECT_NE(html.find("vm1"), std::string::npos);
  EXPECT_EQ(Run({"fly"}), kExitUsage);
}

TEST_F(CtlTest, OutageHasItsOwnExitCode) {
  m_cluster.SetPlatformFaults(R"({"outage":true})");
  const auto good = WriteFile("good.json", FormatRecord(m_cluster.RecordOf("g")));
  EXPECT_EQ(Run({"replace", good, "--revision", "1"}), kExitUnavailable);
}

TEST_F(CtlTest, DaemonChecksItsSettings) {
  const auto programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path();
  const auto run = [&](const std::vector<std::string>& arguments) {
    Process process((programs / "cardamomd").string(), arguments, m_cluster.log_directory() + "/d");
    return process.Wait(Millis(10'000)).value_or(-1);
  };
  const std::vector<std::string> good = {
      "--check-settings", "--vm-id",     "x",          "--domain",         "d",
      "--platform",       "127.0.0.1:1", "--peer-key", "0123456789abcdef", "--token-key",
      "0123456789abcdef"};
  EXPECT_EQ(run(good), 0);
  EXPECT_EQ(run({"--check-settings", "--threads", "many"}), 2);
  auto port_in_use = good;
  port_in_use.erase(port_in_use.begin());
  port_in_use.insert(port_in_use.end(),
                     {"--listen-callers", m_cluster.proxy(0).caller_address.ToString()});
  EXPECT_EQ(run(port_in_use), 3);
}

}  // namespace
}  // namespace cardamom
