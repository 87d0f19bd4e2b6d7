/// @file
/// Conversion of distribution messages to and from their Cap'n Proto form.
#pragma once

#include "distribution/actions.h"
#include "distribution/messages.h"
#include "peer.capnp.h"

namespace chicorygap::peer {

/// @param from sender of the message.
void encode(const distribution::member& from, const distribution::message& m,
            wire::Distribution::Builder out);

/// @throws base::error with `body_malformed` for a message of a later version.
distribution::message decode(wire::Distribution::Reader in);
distribution::member decode_sender(wire::Distribution::Reader in);

}  // namespace chicorygap::peer
