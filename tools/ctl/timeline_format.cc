#include "tools/ctl/timeline_format.h"

#include <algorithm>
#include <map>
#include <tuple>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace cardamom {
namespace {

constexpr int kLaneWidth = 260;
constexpr int kRowHeight = 22;
constexpr int kLeftMargin = 130;
constexpr int kTopMargin = 50;

std::string ClockText(std::int64_t time_ms) {
  const auto seconds = static_cast<std::time_t>(time_ms / 1000);
  return fmt::format("{:%H:%M:%S}.{:03}", fmt::gmtime(seconds), time_ms % 1000);
}

std::string SubjectText(const EventSubject& subject) {
  std::string text;
  const auto add = [&text](const char* name, const std::string& value) {
    if (!value.empty() && value != "0") {
      text += fmt::format(" {}={}", name, value);
    }
  };
  add("group", subject.group.value());
  add("endpoint", subject.endpoint.value());
  add("term", std::to_string(subject.term.value()));
  add("index", std::to_string(subject.index.value()));
  add("request", subject.request);
  add("detail", subject.detail);
  return text;
}

std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

}  // namespace

void SortEvents(std::vector<Event>& events) {
  std::stable_sort(events.begin(), events.end(), [](const Event& a, const Event& b) {
    return std::tie(a.time_ms, a.logical, a.vm) < std::tie(b.time_ms, b.logical, b.vm);
  });
}

std::string TimelineText(const std::vector<Event>& events) {
  std::string out;
  for (const auto& event : events) {
    out += fmt::format("{} {:<12} {} {}{}\n", ClockText(event.time_ms), event.vm, event.code,
                       event.name, SubjectText(event.subject));
  }
  return out;
}

std::string TimelineJsonLines(const std::vector<Event>& events) {
  std::string out;
  for (const auto& event : events) {
    out += EncodeJson(event) + "\n";
  }
  return out;
}

std::string TimelineHtml(const std::vector<Event>& events) {
  std::map<std::string, int> lanes;
  for (const auto& event : events) {
    lanes.emplace(event.vm, 0);
  }
  int next = 0;
  for (auto& [vm, lane] : lanes) {
    lane = next++;
  }
  const int width = kLeftMargin + kLaneWidth * next;
  const int height = kTopMargin + kRowHeight * static_cast<int>(events.size() + 1);
  std::string out = fmt::format(
      "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>Time line</title>"
      "<style>body{{font:12px sans-serif}}line{{stroke:#ccc}}</style></head><body>"
      "<svg width=\"{}\" height=\"{}\">",
      width, height);
  for (const auto& [vm, lane] : lanes) {
    const int x = kLeftMargin + lane * kLaneWidth;
    out += fmt::format(
        "<text x=\"{}\" y=\"20\" font-weight=\"bold\">{}</text>"
        "<line x1=\"{}\" y1=\"30\" x2=\"{}\" y2=\"{}\"/>",
        x, EscapeHtml(vm), x, x, height);
  }
  int row = 0;
  for (const auto& event : events) {
    const int x = kLeftMargin + lanes.at(event.vm) * kLaneWidth;
    const int y = kTopMargin + kRowHeight * row++;
    out += fmt::format(
        "<text x=\"4\" y=\"{}\">{}</text><circle cx=\"{}\" cy=\"{}\" r=\"4\"/>"
        "<text x=\"{}\" y=\"{}\"><title>{}</title>{} {}</text>",
        y + 4, ClockText(event.time_ms), x, y, x + 8, y + 4, EscapeHtml(SubjectText(event.subject)),
        event.name, EscapeHtml(event.subject.endpoint.value()));
  }
  return out + "</svg></body></html>\n";
}

}  // namespace cardamom
