/// @file
/// Server side of the calls.
#pragma once

#include "encoding.h"
#include "event_loop.h"
#include "peer.capnp.h"
#include "peer/node.h"

#include <kj/async.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace chicorygap::peer {

/// Claims that wait for their reply, which may be given on any thread, even after the node is gone.
class claim_board : public std::enable_shared_from_this<claim_board> {
public:
    explicit claim_board(event_loop& loop) : loop_{&loop} {}

    /// @param reply receives the function that answers the claim.
    /// @return promise of the answer. Called on the loop's thread.
    kj::Promise<claim_reply> open(std::function<void(claim_reply)>& reply);
    /// Drops all waiting claims. Called on the loop's thread.
    void close();

private:
    void answer(std::uint64_t id, claim_reply r);

    std::mutex mutex_;
    event_loop* loop_;  // null once closed
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<claim_reply>>> waiting_;  // loop's thread only
};

/// Decodes calls, passes them to the handlers and encodes the replies.
// The interface has no virtual destructor in KJ; objects are only owned by their exact type.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class service final : public wire::Peer::Server {
public:
    /// @param h handlers; must outlive this object.
    service(const handlers& h, const node_options& o, std::shared_ptr<claim_board> claims)
        : handlers_{h}, options_{o}, claims_{std::move(claims)} {}

    kj::Promise<void> probe(ProbeContext c) override;
    kj::Promise<void> probeIndirect(
        ProbeIndirectContext c) override;  // NOLINT(readability-identifier-naming)
    kj::Promise<void> push(PushContext c) override;
    kj::Promise<void> fetch(FetchContext c) override;
    kj::Promise<void> reportUsage(ReportUsageContext c) override;  // NOLINT(readability-identifier-naming)
    kj::Promise<void> claim(ClaimContext c) override;
    kj::Promise<void> status(StatusContext c) override;
    kj::Promise<void> distribute(DistributeContext c) override;
    kj::Promise<void> recordOutcome(
        RecordOutcomeContext c) override;  // NOLINT(readability-identifier-naming)

private:
    template <typename Context>
    void answer_gossip(Context& c, const decltype(handlers::probe)& handler);

    const handlers& handlers_;
    const node_options& options_;
    std::shared_ptr<claim_board> claims_;
};

}  // namespace chicorygap::peer
