#include "replay/trace.h"

#include "replay/simulation.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

namespace chicorygap::replay {
namespace {

const std::string header =
    "trace small\n"
    "seed 3\n"
    "duration 20\n"
    "class urgent tier=0 service=assistant\n"
    "workspace north\n"
    "zone a daemons=2\n"
    "servers count=2 zone=a service=assistant slots=4\n"
    "expect urgent attainment >= 0.9\n"
    "run\n";  // line 9
const std::string request = "class=urgent workspace=north prompt=100 output=20 deadline=1\n";

trace parse(const std::string& text) {
    std::istringstream in{text};
    return read_trace(in);
}

struct bad_line {
    std::string body;
    std::size_t line;
    std::string reason;
};

// Guards against a trace with a slip of the pen that silently tests something else.
TEST(trace, a_bad_line_is_refused_with_its_number) {
    const std::vector<bad_line> cases{
        {"arrive 1 class=other workspace=north prompt=1 output=1 deadline=1\n", 10, "unknown class 'other'"},
        {"arrive 1 class=urgent workspace=south prompt=1 output=1 deadline=1\n", 10, "unknown workspace"},
        {"arrive 5 " + request + "\n# comment\narrive 4 " + request, 13, "time goes backwards"},
        {"arrive 1 class=urgent workspace=north prompt=1 output=1\n", 10, "missing field 'deadline'"},
        {"arrive 1 " + request + "fault 2 slow target=assistant-a-9 factor=1 for=1\n", 11, "unknown server"},
        {"fault 2 flood target=assistant-a-0\n", 10, "unknown fault"},
        {"fault 2 crash target=assistant-a-0 for=1 factor=2\n", 10, "unknown field 'factor'"},
        {"arrive x " + request, 10, "no number"},
        {"arrive -1 " + request, 10, "negative"},
        {"generate 0 until=5 rate=0 " + request, 10, "too small"},
        {"wait 3\n", 10, "unknown word"},
    };
    for (const auto& c : cases) {
        try {
            parse(header + c.body);
            ADD_FAILURE() << "accepted: " << c.body;
        } catch (const trace_error& e) {
            EXPECT_EQ(e.line(), c.line) << c.body;
            EXPECT_NE(std::string{e.what()}.find(c.reason), std::string::npos) << e.what();
        }
    }
}

// Guards against a trace whose expected outcome was not written down before the run.
TEST(trace, a_header_without_expectation_is_refused) {
    auto text = header;
    text.erase(text.find("expect"), text.find("run") - text.find("expect"));
    EXPECT_THROW(parse(text), trace_error);
}

// Guards against policies that are compared on different arrivals, and against runs that cannot be repeated.
TEST(trace, the_same_trace_gives_the_same_figures) {
    const auto t = parse(header + "generate 0 until=20 rate=3 " + request);
    EXPECT_GT(t.arrivals.size(), 30U);
    for (const auto k : all_policies) {
        std::ostringstream first;
        std::ostringstream second;
        write_csv(first, t.name, "p", simulation{t, k}.run());
        write_csv(second, t.name, "p", simulation{t, k}.run());
        EXPECT_EQ(first.str(), second.str());
    }
}

// Guards against a model that loses requests: without faults and with ample capacity all of them succeed.
TEST(simulation, an_idle_fleet_serves_everything) {
    const auto t = parse(header + "generate 0 until=20 rate=1 " + request);
    for (const auto k : all_policies) {
        const auto m = simulation{t, k}.run();
        EXPECT_EQ(m.front().attainment, 1) << to_string(k);
        EXPECT_NEAR(m.front().wasted_fraction, 0, 1e-9);
        EXPECT_NEAR(m.front().backend_server_seconds, 40, 0.1);
    }
}

}  // namespace
}  // namespace chicorygap::replay
