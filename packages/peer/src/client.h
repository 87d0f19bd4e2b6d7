/// @file
/// Connections to peers.
#pragma once

#include "counting_stream.h"
#include "peer.capnp.h"
#include "peer/types.h"
#include "server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicorygap::peer {

/// Calls a completion exactly once, with a failure if it is dropped.
template <typename T>
class once {
public:
    explicit once(completion<T> f) : call_{std::move(f)} {}
    ~once() { finish({std::nullopt, base::result_code::connect_failed, "node is closed"}); }

    once(const once&) = delete;
    once& operator=(const once&) = delete;
    once(once&&) = delete;
    once& operator=(once&&) = delete;

    void finish(outcome<T> o) {
        if (const auto f = std::exchange(call_, nullptr)) {
            f(std::move(o));
        }
    }

private:
    completion<T> call_;
};

/// Keeps one connection per address and runs calls with a timeout; lives on the loop's thread.
class client {
public:
    client(kj::AsyncIoContext& io, const node_options& o, traffic_counters& counters, kj::TaskSet& tasks);
    ~client();

    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;

    /// Runs one call.
    /// @param address IP address and port.
    /// @param timeout time for connecting, sending and the reply.
    /// @param start sends the request on the connection.
    /// @param done receives the result.
    template <typename T>
    void call(const std::string& address, base::duration timeout,
              std::function<kj::Promise<T>(wire::Peer::Client&)> start, std::shared_ptr<once<T>> done);

    /// Closes connections without traffic for longer than the limit.
    void close_idle();

private:
    struct connection;
    struct slot {
        std::unique_ptr<connection> open;
        kj::ForkedPromise<void> ready = nullptr;
        kj::Promise<void> watch = nullptr;

        slot();
        ~slot();
        slot(const slot&) = delete;
        slot& operator=(const slot&) = delete;
        slot(slot&&) = delete;
        slot& operator=(slot&&) = delete;

        [[nodiscard]] wire::Peer::Client& peer() const;
    };

    std::shared_ptr<slot> slot_of(const std::string& address);
    void opened(const std::string& address, slot& s, kj::Own<kj::AsyncIoStream> socket);
    void drop_later(const std::string& address, const slot* s);
    /// Closes the connection after a failed call unless it has shown life since the call began.
    void failed(const std::string& address, const slot* s, kj::TimePoint began, const kj::Exception& e);
    static base::result_code code_of(const kj::Exception& e);

    kj::Timer& timer_;
    kj::Network& network_;
    const node_options& options_;
    traffic_counters& counters_;
    kj::TaskSet& tasks_;
    std::map<std::string, std::shared_ptr<slot>> slots_;
};

template <typename T>
void client::call(const std::string& address, base::duration timeout,
                  std::function<kj::Promise<T>(wire::Peer::Client&)> start, std::shared_ptr<once<T>> done) {
    auto s = slot_of(address);
    auto* raw = s.get();
    const auto began = timer_.now();
    auto reply = raw->ready.addBranch().then([raw, start = std::move(start)] { return start(raw->peer()); });
    auto limited = timer_.timeoutAfter(timeout.count() * kj::NANOSECONDS, kj::mv(reply));
    auto finished = limited.then(
        [done](T value) {
            done->finish({std::move(value), base::result_code::ok, {}});
        },
        [this, address, raw, began, done](kj::Exception&& e) {
            failed(address, raw, began, e);
            done->finish({std::nullopt, code_of(e), e.getDescription().cStr()});
        });
    tasks_.add(finished.attach(std::move(s)));
}

}  // namespace chicorygap::peer
