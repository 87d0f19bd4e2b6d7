/// @file
/// Message stream that counts its traffic.
#pragma once

#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <atomic>
#include <cstdint>

namespace chicorygap::peer {

/// Counters of all connections of a node; written on the loop's thread, read anywhere.
struct traffic_counters {
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> messages_sent{0};
    std::atomic<std::uint64_t> messages_received{0};
};

/// Owns a socket and counts the messages on it.
class counting_stream final : public capnp::MessageStream {
public:
    counting_stream(kj::Own<kj::AsyncIoStream> socket, traffic_counters& counters, kj::Timer& timer);

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
    tryReadMessage(  // NOLINT(readability-identifier-naming)
        kj::ArrayPtr<kj::AutoCloseFd> fd_space, capnp::ReaderOptions options,
        kj::ArrayPtr<capnp::word> scratch_space) override;
    kj::Promise<void> writeMessage(  // NOLINT(readability-identifier-naming)
        kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(  // NOLINT(readability-identifier-naming)
        kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override;  // NOLINT(readability-identifier-naming)
    kj::Promise<void> end() override;

    /// @return when the last message arrived, or when the stream was opened.
    [[nodiscard]] kj::TimePoint last_received() const { return last_received_; }

private:
    void count_sent(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments);

    kj::Own<kj::AsyncIoStream> socket_;
    capnp::AsyncIoMessageStream stream_;
    traffic_counters& counters_;
    kj::Timer& timer_;
    kj::TimePoint last_received_;
};

}  // namespace chicorygap::peer
