#include "gateway/local_path.h"

#include <utility>

namespace cardamom {
namespace {

class LocalTransaction : public OpenTransaction {
 public:
  LocalTransaction(StatementRunner& runner, TransactionPin pin)
      : m_runner(runner), m_pin(std::move(pin)) {}

  asio::awaitable<Reply> RunNext(StatementTask task) override {
    co_return co_await m_runner.RunNext(std::move(task), m_pin);
  }
  asio::awaitable<Reply> Commit(StatementTask task) override {
    co_return co_await m_runner.Commit(std::move(task), m_pin);
  }
  asio::awaitable<void> Rollback() override { co_await m_runner.Rollback(m_pin); }

  bool IsOpen() const override { return m_pin.IsOpen(); }
  bool may_have_written() const override { return m_pin.may_have_written; }
  const GroupId& group() const override { return m_pin.group->id(); }
  std::string holder() const override { return m_pin.endpoint->entry.id.value(); }

 private:
  StatementRunner& m_runner;
  TransactionPin m_pin;
};

}  // namespace

asio::awaitable<Reply> LocalPath::Read(StatementTask task) {
  co_return co_await m_runner.Read(m_group, std::move(task));
}

asio::awaitable<Reply> LocalPath::Write(StatementTask task) {
  co_return co_await m_runner.Write(m_group, std::move(task));
}

asio::awaitable<StatementPath::BeginResult> LocalPath::RunFirst(StatementTask task,
                                                                bool read_only) {
  TransactionPin pin;
  BeginResult begun;
  begun.reply = co_await m_runner.RunFirst(m_group, std::move(task), read_only, pin);
  if (pin.IsOpen()) {
    begun.transaction = std::make_unique<LocalTransaction>(m_runner, std::move(pin));
  }
  co_return begun;
}

}  // namespace cardamom
