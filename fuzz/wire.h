/// @file
/// Reads arbitrary bytes as a Cap'n Proto message with the limits of a daemon.
#pragma once

#include "base/error.h"
#include "peer/types.h"
#include "server.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstdint>
#include <cstring>
#include <vector>

namespace chicorygap::fuzz {

/// @param decode is called with the root of type `Root`; may report bad input by `base::error` or
/// `kj::Exception` only.
template <typename Root, typename Decode>
void read_message(const std::uint8_t* data, std::size_t size, Decode decode) {
    // Cap'n Proto requires aligned words.
    std::vector<capnp::word> words(size / sizeof(capnp::word));
    if (words.empty()) {
        return;
    }
    std::memcpy(words.data(), data, words.size() * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader reader{kj::arrayPtr(words.data(), words.size()),
                                             peer::reader_options(peer::node_options{})};
        decode(reader.getRoot<Root>());
    } catch (const base::error&) {
    } catch (const kj::Exception&) {
    }
}

/// @return the message after `peer::encode` and `peer::decode`.
template <typename Root, typename Message>
Message transmitted(const Message& m) {
    capnp::MallocMessageBuilder builder;
    const auto root = builder.initRoot<Root>();
    peer::encode(m, root);
    return peer::decode(root.asReader());
}

}  // namespace chicorygap::fuzz
