#include "backend/load_reader.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <chrono>
#include <string>

namespace chicorygap::backend {

namespace {

constexpr std::size_t report_limit = 4096;  // bytes; bounds what a faulty server can make the daemon read

std::string read_limited(std::istream& in) {
    std::string buf(report_limit, '\0');
    in.read(buf.data(), static_cast<std::streamsize>(buf.size()));
    buf.resize(static_cast<std::size_t>(in.gcount()));
    return buf;
}

load_report parse(const std::string& text) {
    Poco::JSON::Parser parser;
    const auto j = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    load_report r;
    r.running = j->getValue<int>("running");
    r.queued = j->getValue<int>("queued");
    const auto age = base::stored_duration(j->optValue<Poco::Int64>("age_ms", 0));
    if (!age) {
        throw Poco::DataFormatException{"age_ms"};
    }
    r.age = *age;
    return r;
}

}  // namespace

std::optional<load_report> read_load(const endpoint& server, base::duration timeout) {
    try {
        Poco::Net::HTTPClientSession session{server.host, server.port};
        session.setTimeout(
            Poco::Timespan{std::chrono::duration_cast<std::chrono::microseconds>(timeout).count()});
        Poco::Net::HTTPRequest request{"GET", "/load", Poco::Net::HTTPMessage::HTTP_1_1};
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        auto& in = session.receiveResponse(response);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            return std::nullopt;
        }
        return parse(read_limited(in));
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

}  // namespace chicorygap::backend
