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
#include <utility>

namespace chicorygap::peer {

/// Calls that wait for their reply, which may be given on any thread, even after the node is gone.
template <typename Reply>
class reply_board : public std::enable_shared_from_this<reply_board<Reply>> {
public:
    explicit reply_board(event_loop& loop) : loop_{&loop} {}

    /// @param reply receives the function that answers the call.
    /// @return promise of the answer. Called on the loop's thread.
    kj::Promise<Reply> open(std::function<void(Reply)>& reply) {
        auto pair = kj::newPromiseAndFulfiller<Reply>();
        const auto id = next_++;
        waiting_.emplace(id, kj::mv(pair.fulfiller));
        reply = [self = this->shared_from_this(), id](Reply r) { self->answer(id, std::move(r)); };
        return kj::mv(pair.promise);
    }

    /// Drops all waiting calls. Called on the loop's thread.
    void close() {
        const std::lock_guard lock{mutex_};
        loop_ = nullptr;
        waiting_.clear();
    }

private:
    void answer(std::uint64_t id, Reply r) {
        const std::lock_guard lock{mutex_};
        if (loop_ == nullptr) {
            return;
        }
        loop_->post([self = this->shared_from_this(), id, r = std::move(r)](kj::AsyncIoContext&) {
            const auto it = self->waiting_.find(id);
            if (it != self->waiting_.end()) {
                it->second->fulfill(Reply{r});
                self->waiting_.erase(it);
            }
        });
    }

    std::mutex mutex_;
    event_loop* loop_;  // null once closed
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<Reply>>> waiting_;  // loop's thread only
};

/// Boards of a node.
struct reply_boards {
    explicit reply_boards(event_loop& loop)
        : claims{std::make_shared<reply_board<claim_reply>>(loop)},
          usage{std::make_shared<reply_board<usage_reply>>(loop)} {}

    void close() const {
        claims->close();
        usage->close();
    }

    std::shared_ptr<reply_board<claim_reply>> claims;
    std::shared_ptr<reply_board<usage_reply>> usage;
};

/// Decodes calls, passes them to the handlers and encodes the replies.
// The interface has no virtual destructor in KJ; objects are only owned by their exact type.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class service final : public wire::Peer::Server {
public:
    /// @param h handlers; must outlive this object.
    service(const handlers& h, const node_options& o, const reply_boards& boards)
        : handlers_{h}, options_{o}, boards_{boards} {}

    kj::Promise<void> probe(ProbeContext c) override;
    kj::Promise<void> probeIndirect(
        ProbeIndirectContext c) override;                          // NOLINT(readability-identifier-naming)
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
    reply_boards boards_;
};

}  // namespace chicorygap::peer
