// Checks that the tables of result codes, events and settings in docs/ match those in the code.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include <fmt/format.h>

#include "cardamom/event_code.h"
#include "cardamom/result_code.h"
#include "settings/gateway_settings.h"
#include "settings/settings.h"

namespace cardamom {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(PROJECT_ROOT) + "/docs/" + name);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Number of table rows of the page, including the head of each table. The separator line below a
// head has no space after its first bar and is not counted.
std::size_t CountTableRows(const std::string& page) {
  std::size_t rows = 0;
  for (std::size_t row_pos = page.find("\n| "); row_pos != std::string::npos;
       row_pos = page.find("\n| ", row_pos + 1)) {
    ++rows;
  }
  return rows;
}

// Checks that the page has a row for each setting, as the code describes it.
template <typename Owner>
void ExpectSettingsDescribed(const std::string& page,
                             std::span<const NumberSettingOf<Owner>> numbers,
                             std::span<const TextSettingOf<Owner>> texts) {
  for (const auto& setting : numbers) {
    const auto row = fmt::format("| {} | {} | {} ({} to {} {}) | {} |", setting.name,
                                 EnvironmentVariableName(setting.name), setting.default_value,
                                 setting.min, setting.max, setting.unit, setting.meaning);
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
  for (const auto& setting : texts) {
    const auto row =
        fmt::format("| {} | {} | {} | {} |", setting.name, EnvironmentVariableName(setting.name),
                    setting.required ? "required" : setting.default_value, setting.meaning);
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
}

TEST(DocsTest, EveryResultCodeIsDescribed) {
  const auto page = ReadPage("ERRORS.md");
  for (const auto& info : AllResultCodes()) {
    const auto row = fmt::format("| {} | {} | {} | {} |", static_cast<int>(info.code), info.name,
                                 info.http_status, info.meaning);
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
  EXPECT_EQ(CountTableRows(page), AllResultCodes().size() + 1);
}

TEST(DocsTest, EveryEventIsDescribed) {
  const auto page = ReadPage("EVENTS.md");
  for (const auto& info : AllEventCodes()) {
    const auto row = fmt::format("| {} | {} | {} | {} |", static_cast<int>(info.code), info.name,
                                 info.level, info.meaning);
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
  EXPECT_EQ(CountTableRows(page), AllEventCodes().size() + 1);
}

TEST(DocsTest, EverySettingIsDescribed) {
  const auto page = ReadPage("SETTINGS.md");
  ExpectSettingsDescribed(page, NumberSettings(), TextSettings());
  ExpectSettingsDescribed(page, GatewayNumberSettings(), GatewayTextSettings());
  // One head each for the tables of cardamomd and of the gateway.
  EXPECT_EQ(CountTableRows(page), NumberSettings().size() + TextSettings().size() +
                                      GatewayNumberSettings().size() +
                                      GatewayTextSettings().size() + 2);
}

TEST(DocsTest, CodesAreUniqueAndAscending) {
  int last = -1;
  for (const auto& info : AllResultCodes()) {
    EXPECT_GT(static_cast<int>(info.code), last);
    last = static_cast<int>(info.code);
  }
  last = -1;
  for (const auto& info : AllEventCodes()) {
    EXPECT_GT(static_cast<int>(info.code), last);
    last = static_cast<int>(info.code);
  }
}

}  // namespace
}  // namespace cardamom
