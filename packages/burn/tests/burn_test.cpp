#include "burn/recorder.h"
#include "burn/render.h"
#include "burn/report.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <gtest/gtest.h>

#include <sstream>

namespace chicorygap::burn {
namespace {

using namespace std::chrono_literals;

const base::service_id assistant{"assistant"};
const base::class_id urgent{"urgent"};
const base::time_point t0{1000h};

outcome result(const std::string& workspace, bool attained) {
    outcome o{assistant, urgent, base::workspace_id{workspace}, attained, base::result_code::ok, {}, {}};
    if (!attained) {
        o.code = base::result_code::queue_full;
        o.zone = base::zone_id{"zone-a"};
        o.server = base::backend_server_id{"server-1"};
    }
    return o;
}

void record(recorder& r, const std::string& workspace, int good, int missed, base::time_point at) {
    for (int i = 0; i < good + missed; ++i) {
        r.record(result(workspace, i < good), at);
    }
}

report report_of(const recorder& r, base::time_point at) {
    return make_report({{assistant, urgent, base::tier{0}, 0.99}}, {r.snapshot(at)}, {base::vm_id{"d1"}});
}

// Guards against a wrong speed: 5% misses against a budget of 1% use it up five times too fast.
TEST(burn, rate_is_the_miss_share_over_the_budget) {
    recorder r{base::vm_id{"d1"}};
    record(r, "north", 95, 5, t0);
    const auto c = report_of(r, t0).classes.front();
    for (const auto& w : c.windows) {
        EXPECT_NEAR(w.burn_rate, 5, 1e-9);
    }
    EXPECT_NEAR(c.budget_left, -4, 1e-9);
    EXPECT_EQ(c.time_left, base::duration{});
    EXPECT_EQ(c.urgency, alert::page);
}

// Guards against an alert that stays after its cause has ended, and against forgetting it in long windows.
TEST(burn, misses_leave_short_windows_first) {
    recorder r{base::vm_id{"d1"}};
    record(r, "north", 90, 10, t0);
    record(r, "north", 9900, 0, t0 + 30min);
    const auto c = report_of(r, t0 + 30min).classes.front();
    EXPECT_EQ(c.windows[window_5m].burn_rate, 0);
    EXPECT_NEAR(c.windows[window_1h].burn_rate, 0.1, 1e-9);
    EXPECT_EQ(c.urgency, alert::none);
    ASSERT_TRUE(c.time_left);
    EXPECT_EQ(std::chrono::duration_cast<std::chrono::hours>(*c.time_left), 648h);  // 0.9 of 72 h at 0.1
    EXPECT_EQ(report_of(r, t0 + 80h).classes.front().windows[window_3d].requests.total, 0U);
}

// Guards against a small workspace that is hidden by large ones.
TEST(burn, names_the_worst_served_workspace) {
    recorder r{base::vm_id{"d1"}};
    record(r, "large", 1000, 0, t0);
    record(r, "small", 15, 5, t0);
    record(r, "single", 0, 1, t0);
    const auto c = report_of(r, t0).classes.front();
    ASSERT_EQ(c.workspaces.size(), 3U);
    EXPECT_EQ(c.workspaces.front().workspace.str(), "small");
    EXPECT_EQ(c.workspaces.back().workspace.str(), "single");
}

// Guards against double counting after a repeated digest and against silently missing daemons.
TEST(burn, merges_daemons_and_names_the_missing_ones) {
    recorder a{base::vm_id{"a"}};
    recorder b{base::vm_id{"b"}};
    record(a, "north", 9, 1, t0);
    record(b, "north", 10, 0, t0);
    const auto r = make_report({{assistant, urgent, base::tier{0}, 0.99}},
                               {a.snapshot(t0), b.snapshot(t0), a.snapshot(t0)},
                               {base::vm_id{"a"}, base::vm_id{"b"}, base::vm_id{"c"}});
    EXPECT_EQ(r.classes.front().windows[window_1h].requests, (counts{20, 19}));
    EXPECT_EQ(r.missing, std::vector<base::vm_id>{base::vm_id{"c"}});
    EXPECT_EQ(r.classes.front().reasons.by_code, (std::vector<cause>{{"queue_full", 1}}));
    EXPECT_EQ(r.classes.front().reasons.by_zone, (std::vector<cause>{{"zone-a", 1}}));
    EXPECT_EQ(r.classes.front().reasons.by_server, (std::vector<cause>{{"server-1", 1}}));
}

// Guards against output that tools cannot read or that a workspace name can break.
TEST(burn, writes_valid_json_and_a_page_without_references) {
    recorder r{base::vm_id{"d1"}};
    record(r, "<b>\"x\"", 15, 5, t0);
    const auto rep = make_report({{assistant, urgent, base::tier{0}, 0.99}}, {r.snapshot(t0)},
                                 {base::vm_id{"d1"}, base::vm_id{"lost"}});
    std::ostringstream json;
    write_json(json, rep, base::wall_time{1h});
    const auto root = Poco::JSON::Parser{}.parse(json.str()).extract<Poco::JSON::Object::Ptr>();
    const auto workspace = root->getArray("classes")->getObject(0)->getArray("workspaces")->getObject(0);
    EXPECT_EQ(workspace->getValue<std::string>("workspace"), "<b>\"x\"");
    std::ostringstream html;
    write_html(html, rep, base::wall_time{1h});
    EXPECT_EQ(html.str().find("<b>"), std::string::npos);
    EXPECT_EQ(html.str().find("http"), std::string::npos);
    EXPECT_NE(html.str().find("<svg"), std::string::npos);
    std::ostringstream text;
    write_text(text, rep);
    EXPECT_NE(text.str().find("missing: 1 (lost)"), std::string::npos);
}

}  // namespace
}  // namespace chicorygap::burn
