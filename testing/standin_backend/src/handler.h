/// @file
/// Routes requests of the stand-in.
#pragma once

#include "exchange.h"
#include "state.h"

#include <Poco/Net/HTTPRequestHandler.h>

namespace chicorygap::standin_backend {

/// Answers one request.
class handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit handler(state& s) : state_{s} {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override;

private:
    void control(exchange& e, const std::string& path);
    void inject(exchange& e);
    void order(exchange& e);
    void load(exchange& e);
    void cache_events(exchange& e);
    void debug(exchange& e, const std::string& path);
    void plain(exchange& e, const std::optional<fault>& f);
    void plain_answer(exchange& e, const std::optional<fault>& f);
    /// @return true if the fault has answered the request.
    bool apply_early(exchange& e, const std::optional<fault>& f);

    state& state_;
};

}  // namespace chicorygap::standin_backend
