#include "counting_stream.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <utility>

namespace chicorygap::peer {

counting_stream::counting_stream(kj::Own<kj::AsyncIoStream> socket, traffic_counters& counters,
                                 kj::Timer& timer)
    : socket_{kj::mv(socket)},
      stream_{*socket_},
      counters_{counters},
      timer_{timer},
      last_received_{timer.now()} {}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> counting_stream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> fd_space, capnp::ReaderOptions options,
    kj::ArrayPtr<capnp::word> scratch_space) {
    return stream_.tryReadMessage(fd_space, options, scratch_space)
        .then([this](kj::Maybe<capnp::MessageReaderAndFds> read) {
            KJ_IF_MAYBE (message, read) {
                counters_.messages_received++;
                counters_.bytes_received += message->reader->sizeInWords() * sizeof(capnp::word);
                last_received_ = timer_.now();
            }
            return read;
        });
}

kj::Promise<void> counting_stream::writeMessage(
    kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
    count_sent(segments);
    return stream_.writeMessage(fds, segments);
}

kj::Promise<void> counting_stream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) {
    for (auto& segments : messages) {
        count_sent(segments);
    }
    return stream_.writeMessages(messages);
}

kj::Maybe<int> counting_stream::getSendBufferSize() {
    return stream_.getSendBufferSize();
}

kj::Promise<void> counting_stream::end() {
    return stream_.end();
}

void counting_stream::count_sent(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
    counters_.messages_sent++;
    counters_.bytes_sent += capnp::computeSerializedSizeInWords(segments) * sizeof(capnp::word);
}

}  // namespace chicorygap::peer
