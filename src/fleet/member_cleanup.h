// Removes rows of VMs that are permanently gone from the table of members.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/home_client.h"
#include "http/http_message.h"
#include "membership/row_removal.h"

namespace cardamom {

// POST: asks a proxy whether a VM of the table of members answers its ping. The address is not part
// of the request, so that no caller can make a proxy connect to an address of its choice.
inline constexpr const char* kPeerMemberPath = "/v1/peer/member";

struct PeerMemberRequest {
  std::string vm;
};
BOOST_DESCRIBE_STRUCT(PeerMemberRequest, (), (vm))

struct PeerMemberReply {
  // The proxy has a row of the VM.
  bool known = false;
  bool answers = false;
};
BOOST_DESCRIBE_STRUCT(PeerMemberReply, (), (known, answers))

// Carries out the decisions of RowRemoval. Not thread safe: all use is on the thread of the
// context.
class MemberCleanup {
 public:
  // `table` accesses the store directly. `store_answers` returns whether the store does. The
  // references must outlive the object.
  MemberCleanup(GatewayContext& context,
                TablePort table,
                Fleet& fleet,
                HomeClient& peers,
                std::function<bool()> store_answers);

  // Must be called at most once. The object must outlive the coroutine that this starts.
  void Start();
  void Stop() { m_stopped = true; }

  // Answers a PeerMemberRequest of another proxy. Errors: status 400 for a malformed request.
  asio::awaitable<HttpResponse> Answer(std::string body);

 private:
  asio::awaitable<void> Run();
  asio::awaitable<void> PingRound();
  asio::awaitable<void> TryRemove(RowRemoval::Candidate candidate);
  asio::awaitable<RowRemoval::WitnessAnswer> AskWitness(VmEntry witness, std::string vm);
  asio::awaitable<bool> Ping(std::string address);
  std::vector<MemberRow> Rows() const;
  void ObserveStore();

  GatewayContext& m_context;
  const TablePort m_table;
  Fleet& m_fleet;
  HomeClient& m_peers;
  const std::function<bool()> m_store_answers;
  RowRemoval m_removal;
  StorePosition m_rows_position;
  bool m_write_failed = false;
  std::size_t m_pings_for_peers = 0;
  bool m_stopped = false;
};

}  // namespace cardamom
