/// @file
/// Conversion between typed values and their Cap'n Proto form.
#pragma once

#include "membership/message.h"
#include "peer.capnp.h"
#include "peer/types.h"
#include "usage/counts.h"

namespace chicorygap::peer {

void encode(const membership::message& m, wire::Gossip::Builder out);
/// @throws base::error with `body_malformed` for values out of range.
membership::message decode(wire::Gossip::Reader in);

void encode(const usage::usage_report& r, wire::UsageReport::Builder out);
usage::usage_report decode(wire::UsageReport::Reader in);

void encode(const claim_request& r, wire::Claim::Builder out);
claim_request decode(wire::Claim::Reader in);

void encode(const outcome_report& r, wire::Outcome::Builder out);
outcome_report decode(wire::Outcome::Reader in);

void encode(const claim_reply& r, wire::ClaimReply::Builder out);
/// @throws base::error with `body_malformed` for values out of range.
claim_reply decode(wire::ClaimReply::Reader in);

}  // namespace chicorygap::peer
