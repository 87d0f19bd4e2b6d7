/// @file
/// Decides from the head of a response whether it answers the request.
#pragma once

#include "http/message.h"

namespace chicorygap::proxy {

struct response_metadata;

/// What the head of a response is compared with.
struct expected_response {
    bool stream = false;        ///< the route answers with a stream of events
    bool head_request = false;  ///< the method is HEAD; the response has no body
};

/// @return true if the response is a stream of events.
[[nodiscard]] bool is_event_stream(const http::response_head& head);

/// Decides whether the head is one that the addressed server gives to a request of this kind. Responses with
/// an error status from 500 promise nothing, except 503, and are not examined further.
/// @param head head of the response.
/// @param metadata decoded from `head`; its request id is empty or that of the request.
/// @return null if the response may be forwarded; otherwise the cause for the log.
[[nodiscard]] const char* find_head_fault(const http::response_head& head, const response_metadata& metadata,
                                          const expected_response& expected);

}  // namespace chicorygap::proxy
