#include "stutter_judge.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

#include <fmt/format.h>

namespace cardamom::stutter {
namespace {

constexpr std::array<std::string_view, 10> kOwnWords = {"BEGIN",  "ROLLBACK", "SET",    "PARSE",
                                                        "CLOSE",  "DISCARD",  "STATUS", "PAUSE",
                                                        "RESUME", "STEPDOWN"};
constexpr std::array<std::string_view, 6> kPromises = {"BUSY",     "ABORTED", "LAGGING",
                                                       "READONLY", "MOVED",   "CONNLIMIT"};

std::string_view FirstWord(std::string_view text) {
  return text.substr(0, text.find(' '));
}

// The text without the name of a prepared statement, which the proxy may change.
std::string WithoutName(const std::string& text) {
  constexpr std::string_view kExecute = "EXECUTE ";
  if (text.rfind(kExecute, 0) != 0) {
    return text;
  }
  const auto blank = text.find(' ', kExecute.size());
  return blank == std::string::npos ? text : std::string(kExecute) + text.substr(blank + 1);
}

bool IsPromise(const CallerAnswer& answer) {
  return answer.complete && !answer.ok &&
         std::find(kPromises.begin(), kPromises.end(), answer.error_code) != kPromises.end();
}

std::string Describe(const SentStatement& sent) {
  return fmt::format("{} '{}' of session {} transaction {}", sent.id, sent.text, sent.session,
                     sent.transaction);
}

std::string Describe(const RanStatement& ran) {
  return fmt::format("{} '{}' at {} connection {} transaction {} signature {}", ran.id, ran.text,
                     ran.server, ran.connection, ran.transaction, ran.mac);
}

class Judgement {
 public:
  explicit Judgement(const Journal& journal) : m_journal(journal) {
    for (const auto& ran : journal.ran()) {
      m_runs[ran.id].push_back(&ran);
      for (const auto& id : ran.committed) {
        ++m_commits[id];
      }
    }
    for (const auto& [id, sent] : journal.sent()) {
      if (sent.transaction != 0) {
        m_transactions[sent.transaction].push_back(&sent);
      }
    }
  }

  Verdict Run() {
    for (const auto& ran : m_journal.ran()) {
      CheckRun(ran);
    }
    CheckServerTransactions();
    for (const auto& [id, sent] : m_journal.sent()) {
      CheckAnswer(sent);
    }
    for (const auto& [number, statements] : m_transactions) {
      CheckCallerTransaction(statements);
    }
    for (const auto& [id, count] : m_commits) {
      if (count > 1) {
        Add("TWICE", fmt::format("{} committed {} times", id, count));
      }
    }
    return m_verdict;
  }

 private:
  void Add(const std::string& rule, const std::string& detail) {
    m_verdict[rule].push_back(detail);
  }

  const SentStatement* Find(const std::string& id) const {
    const auto found = m_journal.sent().find(id);
    return found == m_journal.sent().end() ? nullptr : &found->second;
  }

  void CheckRun(const RanStatement& ran) {
    if (ran.id == "-") {
      const auto word = FirstWord(ran.text);
      if (std::find(kOwnWords.begin(), kOwnWords.end(), word) == kOwnWords.end()) {
        Add("UNASKED", "own statement " + Describe(ran));
      }
      return;
    }
    const auto* sent = Find(ran.id);
    if (sent == nullptr) {
      Add("UNASKED", "not sent: " + Describe(ran));
      return;
    }
    if (WithoutName(sent->text) != WithoutName(ran.text)) {
      Add("UNASKED", "changed: " + Describe(ran) + " sent as " + Describe(*sent));
      return;
    }
    if (sent->transaction != 0 && ran.transaction == 0) {
      Add("PINNED", "outside its transaction: " + Describe(ran));
    }
    if (sent->values && *sent->values != ran.values) {
      Add("PINNED", "with other values: " + Describe(ran));
    }
    if (sent->shape != ran.shape) {
      Add("PINNED", fmt::format("shape '{}' for '{}': {}", ran.shape, sent->shape, Describe(ran)));
    }
    if (ran.commits) {
      CheckCommit(ran, *sent);
    }
  }

  void CheckCommit(const RanStatement& ran, const SentStatement& sent) {
    for (const auto& id : ran.committed) {
      const auto* write = Find(id);
      if (write == nullptr) {
        continue;
      }
      const bool is_asked = write->transaction == sent.transaction &&
                            (id == ran.id || FirstWord(sent.text) == "COMMIT");
      // A write of a transaction that runs outside of it is committed at once.
      if (!is_asked || (id == ran.id && sent.transaction != 0)) {
        Add("UNASKED", "commit of " + Describe(*write) + " by " + Describe(ran));
      }
    }
  }

  void CheckServerTransactions() {
    std::map<std::uint64_t, std::set<std::uint64_t>> callers;
    for (const auto& ran : m_journal.ran()) {
      const auto* sent = Find(ran.id);
      if (sent == nullptr || ran.transaction == 0) {
        continue;
      }
      // A single statement counts as a transaction of its own.
      const auto owner = sent->transaction != 0 ? sent->transaction : OwnerOfSingle(ran.id);
      auto& owners = callers[ran.transaction];
      owners.insert(owner);
      if (owners.size() > 1) {
        Add("PINNED", "inside another's transaction: " + Describe(ran));
      }
    }
  }

  std::uint64_t OwnerOfSingle(const std::string& id) {
    constexpr std::uint64_t kSingles = std::uint64_t{1} << 40;
    return m_singles.emplace(id, kSingles + m_singles.size()).first->second;
  }

  void CheckAnswer(const SentStatement& sent) {
    const auto word = FirstWord(sent.text);
    const bool is_single_write =
        sent.transaction == 0 && (word == "PUT" || sent.shape.rfind("PUT", 0) == 0);
    const auto& answer = sent.answer;
    if (is_single_write && IsPromise(answer) && m_commits.count(sent.id) != 0) {
      Add("REFUSED", Describe(sent) + " answered " + answer.error_code);
    }
    if (!answer.complete || !answer.ok) {
      return;
    }
    if (word == "FETCH" || word == "PUT" || word == "COMMIT" || word == "EXECUTE") {
      const auto& runs = m_runs[sent.id];
      const bool is_own = std::any_of(runs.begin(), runs.end(), [&](const auto* ran) {
        return ran->mac == answer.mac && ran->rows == answer.rows;
      });
      if (!is_own) {
        Add("MIXED", fmt::format("{} answered {} with {} rows, {} runs{}", Describe(sent),
                                 answer.mac, answer.rows.size(), runs.size(),
                                 runs.empty() ? "" : ", the last with " + runs.back()->mac));
      }
    }
    if (is_single_write && m_commits.count(sent.id) == 0) {
      Add("LOST", Describe(sent));
    }
  }

  void CheckCallerTransaction(const std::vector<const SentStatement*>& statements) {
    bool was_refused = false;
    const SentStatement* first = nullptr;
    const SentStatement* commit = nullptr;
    for (const auto* sent : statements) {
      was_refused |= IsPromise(sent->answer);
      first = sent->place == 0 ? sent : first;
      commit = sent->text == "COMMIT" ? sent : commit;
    }
    const bool acknowledged = commit != nullptr && commit->answer.complete && commit->answer.ok;
    std::set<std::uint64_t> first_ran_in;
    if (first != nullptr) {
      for (const auto* ran : m_runs[first->id]) {
        first_ran_in.insert(ran->transaction);
      }
    }
    for (const auto* sent : statements) {
      const bool is_committed = m_commits.count(sent->id) != 0;
      const bool writes = FirstWord(sent->text) == "PUT" || sent->shape.rfind("PUT", 0) == 0;
      if (was_refused && is_committed) {
        Add("REFUSED", Describe(*sent));
      }
      if (acknowledged && writes && sent->answer.ok && !is_committed) {
        Add("LOST", Describe(*sent) + " commit " + commit->id);
      }
      for (const auto* ran : m_runs[sent->id]) {
        if (sent->place != 0 && first_ran_in.count(ran->transaction) == 0) {
          Add("PINNED", "apart from the first statement: " + Describe(*ran));
        }
      }
      if (is_committed && commit == nullptr) {
        Add("UNASKED", "commit of " + Describe(*sent) + " without a COMMIT");
      }
    }
  }

  const Journal& m_journal;
  std::map<std::string, std::vector<const RanStatement*>> m_runs;
  std::map<std::string, std::size_t> m_commits;
  std::map<std::uint64_t, std::vector<const SentStatement*>> m_transactions;
  std::map<std::string, std::uint64_t> m_singles;
  Verdict m_verdict;
};

}  // namespace

Verdict Judge(const Journal& journal) {
  return Judgement(journal).Run();
}

}  // namespace cardamom::stutter
