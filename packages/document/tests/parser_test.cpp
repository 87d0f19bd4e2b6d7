#include "document/parser.h"

#include "base/error.h"
#include "document/section_reader.h"
#include "sample.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace chicorygap::document {
namespace {

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

/// Faults of the sample document after one edit, as text.
std::string faults_after(const std::string& from, const std::string& to) {
    return to_string(parse(replaced(sample_text(), from, to), "b.ini").faults);
}

TEST(parser, valid_document_keeps_every_value_through_render) {
    // Guards against a key that is read but not written back, which an operator's edit would then lose.
    const auto d = parse_or_throw(sample_text(), "b.ini");
    EXPECT_EQ(d.name.str(), "booking");
    ASSERT_EQ(d.routes.size(), 2U);
    EXPECT_TRUE(d.routes[1].idempotency_key_required);
    EXPECT_EQ(d.workspaces[1].keys[0].expires, base::wall_time{std::chrono::seconds{1801353600}});
    EXPECT_EQ(parse_or_throw(render(d), "rendered.ini"), d);
    EXPECT_TRUE(diff(d, parse_or_throw(render(d), "rendered.ini")).empty());
}

TEST(parser, fault_names_file_line_section_key_reason_and_allowed_values) {
    // Guards against a message that does not tell the operator where to edit and what is accepted.
    EXPECT_EQ(faults_after("tier = 0", "tier = 7"),
              "b.ini:5: [class urgent] tier: '7' is out of range; allowed: 0 to 4");
    EXPECT_EQ(
        faults_after("deadline = 2s", "deadline = 2"),
        "b.ini:7: [class urgent] deadline: '2' is not a duration; allowed: 1ms to 1d, for example 250ms, 5s "
        "or 1h");
}

TEST(parser, every_fault_is_reported_at_once) {
    // Guards against an operator fixing one fault only to be shown the next.
    auto text = replaced(sample_text(), "kind = plain", "kind = fancy");
    text = replaced(text, "tier = 2", "teir = 2");
    text = replaced(text, "class = urgent", "class = urgnet");
    text = replaced(text, "methods = POST", "methods = POST, POST, FETCH");
    const auto faults = to_string(parse(text, "b.ini").faults);
    for (const auto* const part :
         {"'fancy' is not a valid choice; allowed: model, plain", "teir: unknown key", "tier: key is missing",
          "class 'urgnet' is not defined; allowed: urgent, normal", "'POST' is listed twice",
          "'FETCH' is not a valid choice"}) {
        EXPECT_NE(faults.find(part), std::string::npos) << part << " in\n" << faults;
    }
}

TEST(parser, ambiguous_or_repeated_entries_are_faults) {
    // Guards against a later line silently replacing an earlier one.
    EXPECT_NE(faults_after("tier = 0", "tier = 0\ntier = 1").find("key repeated; first at line 5"),
              std::string::npos);
    EXPECT_NE(faults_after("[class normal]", "[class urgent]").find("section repeated; first at line 4"),
              std::string::npos);
    EXPECT_NE(faults_after("path = /bookings/deposits\nmethods = POST", "path = /bookings\nmethods = GET")
                  .find("GET /bookings is also matched by route 'bookings'"),
              std::string::npos);
}

TEST(parser, key_of_two_workspaces_is_a_fault) {
    // Guards P3: a key that two workspaces share would run requests for the wrong one.
    const auto faults = faults_after(hash_key("demo-key-south").str(), hash_key("demo-key-north").str());
    EXPECT_NE(faults.find("digest repeated; first as key at line"), std::string::npos) << faults;
}

TEST(parser, key_in_clear_is_refused_and_not_repeated) {
    // Guards against a pasted key reaching logs and terminals through the fault message.
    const auto faults = faults_after(hash_key("demo-key-north").str(), "sk-clear-text");
    EXPECT_NE(faults.find("value is not a key digest"), std::string::npos);
    EXPECT_EQ(faults.find("sk-clear-text"), std::string::npos);
}

TEST(parser, impossible_expiry_is_a_fault) {
    // Guards against 31 February silently meaning 3 March.
    const auto faults = faults_after("2027-01-31T", "2027-02-31T");
    EXPECT_NE(faults.find("text after the digest is malformed"), std::string::npos) << faults;
}

// Guards against an expiry after the year 2262 that overflows and reads as a past or malformed time.
TEST(parser, expiry_far_in_the_future_keeps_its_value) {
    const auto t = parse_wall_time("9999-12-31T23:59:59Z");
    ASSERT_TRUE(t);
    EXPECT_EQ(t->time_since_epoch(), std::chrono::seconds{253402300799});
    EXPECT_EQ(format_wall_time(*t), "9999-12-31T23:59:59Z");
}

TEST(parser, overlong_line_is_a_fault_with_its_line) {
    // Guards against inih truncating or splitting a line without a sign.
    const auto faults =
        parse(sample_text() + "zone = zone-c 0 " + std::string(300, '1') + "\n", "b.ini").faults;
    ASSERT_EQ(faults.size(), 1U) << to_string(faults);
    const auto text = sample_text();
    EXPECT_EQ(faults[0].line, std::count(text.begin(), text.end(), '\n') + 1);
    EXPECT_EQ(faults[0].reason, "line is longer than 198 bytes");
}

TEST(parser, overlong_section_name_is_a_fault) {
    // Guards against inih truncating section names at 49 bytes, which could merge two workspaces.
    const auto faults = faults_after("[workspace south]", "[workspace " + std::string(60, 's') + "]");
    EXPECT_NE(faults.find("section name is empty or longer than 49 bytes"), std::string::npos) << faults;
}

TEST(parser, malformed_lines_are_faults_each) {
    // Guards against inih reporting only the first malformed line.
    const std::string nul(1, '\0');
    const auto input =
        "stray = 1\n" + sample_text() + "no value here\n[broken\n[service] x\nb" + nul + "d = 1\n";
    const auto text = to_string(parse(input, "b.ini").faults);
    EXPECT_NE(text.find("b.ini:1: key outside of any section"), std::string::npos) << text;
    EXPECT_NE(text.find("line is no section header, key = value pair or comment"), std::string::npos) << text;
    EXPECT_NE(text.find("section header has no closing bracket"), std::string::npos) << text;
    EXPECT_NE(text.find("text after a section header"), std::string::npos) << text;
    EXPECT_NE(text.find("line contains a NUL byte"), std::string::npos) << text;
}

TEST(parser, comments_byte_order_mark_and_carriage_returns_are_accepted) {
    // Guards against a document saved by another editor being refused.
    auto text = "\xEF\xBB\xBF; booking\r\n# second comment\r\n" +
                replaced(sample_text(), "tier = 0", "tier = 0 ; top");
    EXPECT_EQ(to_string(parse(text, "b.ini").faults), "");
}

TEST(parser, classes_cannot_be_configured_to_starve) {
    // Guards P2: a floor of 0, or floors that exceed the whole, would leave a class without its share.
    EXPECT_NE(faults_after("floor = 0.05", "floor = 0").find("out of range; allowed: 0.001 to 0.5"),
              std::string::npos);
}

TEST(parser, too_large_document_is_refused) {
    // Guards against a document that the Object API cannot store.
    EXPECT_EQ(parse(std::string(document_size_limit + 1, ';'), "b.ini").faults.at(0).reason,
              "document is too large");
    EXPECT_THROW(parse_or_throw("", "b.ini"), base::error);
}

TEST(parser, document_of_design_size_stays_below_the_store_limit) {
    // Guards against 2,000 workspaces not fitting into one object.
    auto d = parse_or_throw(sample_text(), "b.ini");
    d.routes[1].workspaces.clear();
    for (int i = 0; i < 2000; ++i) {
        workspace w;
        w.id = base::workspace_id{"workspace-" + std::to_string(i)};
        w.keys = {{hash_key("a" + std::to_string(i)), std::nullopt}, {hash_key("b" + std::to_string(i)), {}}};
        w.limits = {10, 1000, 8};
        d.workspaces.push_back(w);
        d.routes[1].workspaces.push_back(w.id);
    }
    const auto text = render(d);
    EXPECT_LT(text.size(), document_size_limit);
    EXPECT_EQ(parse_or_throw(text, "large.ini"), d);
}

TEST(parser, examples_are_valid) {
    // Guards against examples that no longer match the reader.
    for (const std::string name : {"booking", "booking-assistant", "dispatch", "dispatch-assistant"}) {
        std::ifstream in{CHICORYGAP_CONFIG_FOLDER "/" + name + ".ini"};
        const std::string text{std::istreambuf_iterator<char>{in}, {}};
        const auto r = parse(text, name);
        ASSERT_EQ(to_string(r.faults), "");
        EXPECT_EQ(r.document->name.str(), name);
        EXPECT_EQ(r.document->workspaces.at(0).keys.at(0).digest, hash_key("demo-key-north"));
    }
}

TEST(diff, changes_are_listed_by_section_and_key) {
    // Guards against an operator overlooking a change of the other operator.
    const auto before = parse_or_throw(sample_text(), "b.ini");
    auto after = before;
    after.classes[0].deadline = std::chrono::seconds{8};
    after.workspaces.pop_back();
    after.server_kinds[0].zones[0].maximum = 6;
    after.models.push_back({"m", 10, 5});
    const auto changes = diff(before, after);
    ASSERT_EQ(changes.size(), 4U);
    EXPECT_EQ(to_string(changes[0]), "[class urgent] deadline: 2s -> 8s");
    EXPECT_EQ(to_string(changes[1]).find("[workspace south]: removed: weight = 2.5"), 0U);
    EXPECT_EQ(to_string(changes[2]),
              "[server_kind standard] zone: zone-a 1 4, zone-b 0 4 -> zone-a 1 6, zone-b 0 4");
    EXPECT_EQ(to_string(changes[3]), "[model m]: added: context_tokens = 10; max_output_tokens = 5");
}

}  // namespace
}  // namespace chicorygap::document
