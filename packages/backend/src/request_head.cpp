#include "request_head.h"

#include "backend/header.h"
#include "backend/read_some.h"

#include <Poco/Net/HTTPMessage.h>

#include <string>

namespace chicorygap::backend {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

HTTPRequest request_head(const backend_request& r) {
    HTTPRequest out{r.method, r.target, HTTPMessage::HTTP_1_1};
    for (const auto& f : r.fields) {
        if (request_header_allowed(f.name) && header_value_valid(f.value)) {
            out.add(f.name, f.value);
        }
    }
    out.setHost(r.server.host, r.server.port);
    out.set("X-Request-Id", r.id.str());
    out.set("X-Priority", std::to_string(r.priority.level));
    if (r.resume_tokens > 0) {
        out.set("X-Resume-Tokens", std::to_string(r.resume_tokens));
    }
    const std::size_t size = r.body ? r.body->size() : 0;
    if (size > 0 || r.method == HTTPRequest::HTTP_POST || r.method == HTTPRequest::HTTP_PUT ||
        r.method == HTTPRequest::HTTP_PATCH) {
        out.setContentLength64(static_cast<Poco::Int64>(size));
    }
    return out;
}

}  // namespace chicorygap::backend
