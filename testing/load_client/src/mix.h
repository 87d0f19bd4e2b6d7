/// @file
/// Requests of the two deployments.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace chicorygap::load_client {

enum class request_kind { stream, chat, plain, order };

/// One request to send.
struct planned_request {
    /// Name of the row in the result table, for example "booking question".
    std::string row;
    request_kind kind = request_kind::plain;
    std::string method = "GET";
    std::string path;
    std::string key;
    std::string body;
    /// Output tokens that a whole answer has.
    int tokens = 0;
    /// Set for orders; the same for every repetition.
    std::string idempotency_key;
};

/// Generates the requests of one caller. The same seed gives the same requests.
class mix {
public:
    /// @param orders_only generates no other requests than orders.
    mix(std::vector<std::string> deployments, std::uint64_t seed, int caller, bool orders_only = false);

    planned_request next();

private:
    planned_request assistant(const std::string& deployment, bool report);
    planned_request status(const std::string& deployment);
    planned_request order(const std::string& deployment);
    int pick(int n) { return static_cast<int>(random_() % static_cast<std::uint64_t>(n)); }

    std::vector<std::string> deployments_;
    std::mt19937_64 random_;
    int caller_;
    bool orders_only_;
    int serial_ = 0;
};

}  // namespace chicorygap::load_client
