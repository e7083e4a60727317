// Callers of a seeded variety of operations.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/clock.h"
#include "http/address.h"
#include "stutter_journal.h"
#include "stutter_socket.h"

namespace cardamom::stutter {

struct CallerOptions {
  std::vector<Address> gateways;
  std::vector<std::string> databases;
  std::uint64_t seed = 0;
  TimePoint end;
};

// One caller, which opens sessions one after another. Used on one thread.
class StutterCaller {
 public:
  StutterCaller(CallerOptions options, Journal& journal);

  // Runs operations until the end time.
  void Run();

 private:
  enum class Outcome { kServed, kRefused, kBroken };
  struct Text {
    std::string text;
    std::string shape;
  };

  bool Chance(double share);
  int Below(int bound);
  std::string NextId();
  std::string Item();
  Text AnyText(bool may_write);
  std::string OddText();

  bool OpenSession();
  // Runs one operation. Returns false if the session has ended or is to be ended.
  bool RunOperation();
  bool RunSingle();
  bool RunTransaction();
  bool RunSetting();
  bool RunPipeline();
  // These leave the session.
  void LeaveWithStatement();
  void LeaveWithHalfLine();
  void SendControlCharacters();

  std::string Send(const Text& text, std::uint64_t transaction, std::size_t place);
  CallerAnswer Receive(const std::string& id);
  CallerAnswer Ask(const Text& text, std::uint64_t transaction = 0, std::size_t place = 0);
  bool Leave(Outcome outcome);

  const CallerOptions m_options;
  Journal& m_journal;
  std::mt19937_64 m_random;
  std::unique_ptr<LineSocket> m_socket;
  std::uint64_t m_session = 0;
  Values m_values;
  // Access and shape by name.
  Values m_prepared;
};

}  // namespace cardamom::stutter
