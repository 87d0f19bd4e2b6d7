#include "base/error.h"
#include "commands.h"
#include "table.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <chrono>

namespace chicorygap::tool {

namespace {

using base::result_code;

/// Sends a GET request to the operator address of a daemon.
/// @return body of the response, parsed as JSON.
/// @throws base::error with `not_ready` when the request fails, its status is not 200 or its body is not
/// JSON.
Poco::Dynamic::Var get_daemon_json(const command_line& c, const std::string& path) {
    const auto endpoint = net::to_string(c.daemon) + path;
    try {
        const auto us = std::chrono::duration_cast<std::chrono::microseconds>(c.timeout);
        Poco::Net::HTTPClientSession session{c.daemon.host, c.daemon.port};
        session.setTimeout(Poco::Timespan{us.count()});
        Poco::Net::HTTPRequest request{"GET", path, Poco::Net::HTTPMessage::HTTP_1_1};
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            throw base::error{result_code::not_ready,
                              endpoint + ": HTTP status " + std::to_string(response.getStatus())};
        }
        Poco::JSON::ParseHandler::Ptr handler =
            new Poco::JSON::ParseHandler{true};  // preserves the order of members
        return Poco::JSON::Parser{handler}.parse(body);
    } catch (const Poco::Exception& e) {
        throw base::error{result_code::not_ready, endpoint + ": " + e.displayText()};
    }
}

void print_json(const Poco::Dynamic::Var& v, const streams& s) {
    Poco::JSON::Stringifier::stringify(v, s.out, 2);
    s.out << '\n';
}

exit_code print_daemon_table(const command_line& c, const streams& s, const std::string& path) {
    expect_operands(c, 0, "no operands");
    const auto v = get_daemon_json(c, path);
    if (c.json) {
        print_json(v, s);
    } else {
        print_table(v, s.out);
    }
    return exit_code::success;
}

}  // namespace

exit_code status(const command_line& c, const streams& s) {
    expect_operands(c, 0, "no operands");
    const auto v = get_daemon_json(c, "/status");
    if (c.json) {
        print_json(v, s);
    } else {
        print_lines(v, s.out);
    }
    return exit_code::success;
}

exit_code burn(const command_line& c, const streams& s) {
    return print_daemon_table(c, s, "/burn");
}

exit_code evacuations(const command_line& c, const streams& s) {
    return print_daemon_table(c, s, "/evacuations");
}

}  // namespace chicorygap::tool
