#include "ledger.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <cstdio>
#include <iostream>

namespace chicorygap::load_client {

namespace {

constexpr const char* key_prefix = "demo-key-";

std::string fetch(const std::string& address, const std::string& path) {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress{address}};
    session.setTimeout(Poco::Timespan{10, 0});
    Poco::Net::HTTPRequest request{"GET", path, Poco::Net::HTTPMessage::HTTP_1_1};
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    return body;
}

void add_runs(const std::string& body, std::map<std::string, int>& runs) {
    Poco::JSON::Parser parser;
    const auto root = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
    const auto list = root->getObject("runs");
    for (const auto& name : list->getNames()) {
        runs[name] += list->getValue<int>(name);
    }
}

}  // namespace

void ledger::record(const planned_request& r, const outcome& o) {
    const std::lock_guard lock{mutex_};
    auto& v = rows_[r.row];
    v.sent++;
    v.retried += o.tries > 1 ? 1 : 0;
    if (o.result == verdict::answered) {
        v.answered++;
    } else if (o.result == verdict::refused) {
        v.codes[o.code]++;
        (o.run_state == "not_run" ? v.not_run : v.other_refusals)++;
    } else if (o.result == verdict::cut) {
        v.cut++;
        faults_.push_back(r.row + ": no answer after " + std::to_string(o.tries) + " tries: " + o.detail);
    } else {
        v.wrong++;
        faults_.push_back("P8 " + r.row + ": " + o.detail);
    }
    if (r.kind == request_kind::order) {
        orders_[r.idempotency_key] = o;
    }
}

void ledger::print() const {
    const std::lock_guard lock{mutex_};
    std::printf("%-22s %6s %9s %8s %8s %6s %6s %8s  %s\n", "class", "sent", "answered", "not_run", "unknown",
                "cut", "wrong", "retried", "codes");
    for (const auto& [name, v] : rows_) {
        std::string codes;
        for (const auto& [code, n] : v.codes) {
            codes += std::to_string(code) + "x" + std::to_string(n) + " ";
        }
        std::printf("%-22s %6d %9d %8d %8d %6d %6d %8d  %s\n", name.c_str(), v.sent, v.answered, v.not_run,
                    v.other_refusals, v.cut, v.wrong, v.retried, codes.c_str());
    }
}

order_counts ledger::count_orders(const std::vector<std::string>& backends) const {
    const std::lock_guard lock{mutex_};
    std::map<std::string, int> runs;
    for (const auto& address : backends) {
        add_runs(fetch(address, "/debug/runs"), runs);
    }
    order_counts c;
    c.orders = static_cast<int>(orders_.size());
    for (const auto& [key, n] : runs) {
        c.runs += n;
        c.double_runs += !key.empty() && n > 1 ? 1 : 0;
    }
    for (const auto& [key, o] : orders_) {
        const bool false_not_run = o.run_state == "not_run" && runs.count(key) != 0;
        c.false_not_run += false_not_run ? 1 : 0;
        c.false_not_run_first_try += false_not_run && o.tries == 1 ? 1 : 0;
    }
    return c;
}

std::vector<std::string> ledger::broken_promises(const std::vector<std::string>& backends) const {
    const std::lock_guard lock{mutex_};
    auto out = faults_;
    std::map<std::string, int> runs;
    for (const auto& address : backends) {
        try {
            add_runs(fetch(address, "/debug/runs"), runs);
            if (fetch(address, "/debug/received").find(key_prefix) != std::string::npos) {
                out.push_back("P4 " + address + " received a caller's key");
            }
        } catch (const Poco::Exception& e) {
            // A stand-in that the scenario stopped has no records; the others are still checked.
            std::cout << "stand-in " << address << " not checked: " << e.displayText() << '\n';
        }
    }
    for (const auto& [key, n] : runs) {
        const bool is_order =
            !key.empty();  // calls without an idempotency key are counted under the empty name
        if (is_order && n > 1) {
            out.push_back("P10 order " + key + " ran " + std::to_string(n) + " times");
        }
    }
    for (const auto& [key, o] : orders_) {
        if (o.run_state == "not_run" && runs.count(key) != 0) {
            out.push_back("P9 order " + key + " was reported as not run but ran: code " +
                          std::to_string(o.code) + " on try " + std::to_string(o.tries));
        }
        if (o.result == verdict::answered && !backends.empty() && runs.count(key) == 0) {
            std::cout << "order " + key + " ran on a stand-in that is gone\n";
        }
    }
    return out;
}

}  // namespace chicorygap::load_client
