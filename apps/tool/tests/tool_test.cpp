#include "tool/tool.h"

#include "standin_platform/server.h"
#include "table.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/TemporaryFile.h>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>

namespace chicorygap::tool {
namespace {

using standin_platform::fault_kind;

const std::string example = CHICORYGAP_CONFIG_FOLDER "/booking.ini";

std::string read_text(const std::string& path) {
    std::ifstream in{path};
    return {std::istreambuf_iterator<char>{in}, {}};
}

class tool_test : public testing::Test {
protected:
    tool_test() {
        directory_.createDirectory();
        local_file_ = directory_.path() + "/local.ini";
        concurrent_file_ = directory_.path() + "/concurrent.ini";
    }

    exit_code run(std::vector<std::string> arguments, const std::string& input = "") {
        arguments.insert(arguments.end(), {"--platform", "127.0.0.1:" + std::to_string(server_.port())});
        std::istringstream in{input};
        out_.str("");
        err_.str("");
        return tool::run(arguments, {in, out_, err_});
    }

    /// Replaces the first occurrence of a text in a file.
    static void replace_in_file(const std::string& path, const std::string& from, const std::string& to) {
        auto text = read_text(path);
        const auto at = text.find(from);
        ASSERT_NE(at, std::string::npos) << from;
        std::ofstream{path} << text.replace(at, from.size(), to);
    }

    /// Stores the example, fetches it into two files, and edits a different key in each.
    void store_example_and_edit_two_copies() {
        std::ofstream{directory_.path() + "/first.ini"} << read_text(example);
        ASSERT_EQ(run({"apply", directory_.path() + "/first.ini"}), exit_code::success) << err_.str();
        ASSERT_EQ(run({"show", "booking", local_file_}), exit_code::success) << err_.str();
        ASSERT_EQ(run({"show", "booking", concurrent_file_}), exit_code::success) << err_.str();
        replace_in_file(concurrent_file_, "deadline = 5s", "deadline = 8s");
        replace_in_file(local_file_, "floor_wait = 3s", "floor_wait = 4s");
    }

    std::string stored_document() { return server_.objects().get("document/booking")->value; }

    standin_platform::server server_{{}};
    Poco::TemporaryFile directory_;
    std::string local_file_;
    std::string concurrent_file_;
    std::ostringstream out_;
    std::ostringstream err_;
};

TEST_F(tool_test, concurrent_edit_is_reported_as_conflict_and_not_overwritten) {
    // Guards against lost updates: two operators edit the same version, and the second apply overwrites the
    // first.
    store_example_and_edit_two_copies();
    ASSERT_EQ(run({"apply", concurrent_file_}), exit_code::success) << err_.str();
    EXPECT_EQ(run({"apply", local_file_}), exit_code::conflict);
    EXPECT_NE(err_.str().find("changed by others since:\n  [class payment] deadline: 5s -> 8s"),
              std::string::npos)
        << err_.str();
    EXPECT_NE(err_.str().find("changed in this file:\n  [class query] floor_wait: 3s -> 4s"),
              std::string::npos);
    EXPECT_EQ(stored_document(), read_text(concurrent_file_));
    replace_in_file(local_file_, "deadline = 5s", "deadline = 8s");
    EXPECT_EQ(run({"apply", local_file_, "--base", "2"}), exit_code::success) << err_.str();
    EXPECT_EQ(stored_document(), read_text(local_file_));
}

TEST_F(tool_test, file_without_base_version_does_not_replace_a_stored_document) {
    // Guards against a file that was not fetched with show, and so has no base version, replacing newer
    // changes.
    store_example_and_edit_two_copies();
    const auto before = stored_document();
    std::ofstream{directory_.path() + "/other.ini"} << read_text(local_file_);
    EXPECT_EQ(run({"apply", directory_.path() + "/other.ini", "--json"}), exit_code::conflict);
    EXPECT_NE(out_.str().find("\"result\": \"conflict\""), std::string::npos) << out_.str();
    EXPECT_EQ(stored_document(), before);
}

TEST_F(tool_test, lost_response_is_resolved_by_reading_the_stored_document) {
    // Guards against reporting a failure for a change that the platform has stored, when only its response is
    // lost.
    store_example_and_edit_two_copies();
    server_.faults().add({fault_kind::drop_reply, "/objects/", "PUT", 1, {}});
    EXPECT_EQ(run({"apply", local_file_}), exit_code::success) << err_.str();
    EXPECT_EQ(stored_document(), read_text(local_file_));
    EXPECT_EQ(run({"apply", local_file_}), exit_code::success);
    EXPECT_NE(out_.str().find("unchanged"), std::string::npos);
}

TEST_F(tool_test, invalid_file_is_never_stored) {
    // Guards against storing a document that every daemon would reject.
    store_example_and_edit_two_copies();
    const auto before = stored_document();
    replace_in_file(local_file_, "tier = 0", "tier = 9");
    EXPECT_EQ(run({"apply", local_file_}), exit_code::invalid);
    EXPECT_NE(err_.str().find("'9' is out of range; allowed: 0 to 4"), std::string::npos);
    EXPECT_EQ(run({"diff", "booking", local_file_}), exit_code::invalid);
    EXPECT_EQ(stored_document(), before);
}

TEST_F(tool_test, document_that_conflicts_with_another_service_is_rejected) {
    // Guards against an API key that selects two workspaces, or a path that selects two services (P3).
    store_example_and_edit_two_copies();
    auto text = read_text(example);
    text.replace(text.find("name = booking"), 14, "name = other");
    std::ofstream{local_file_} << text;
    EXPECT_EQ(run({"apply", local_file_}), exit_code::invalid);
    EXPECT_NE(err_.str().find("is also matched by route"), std::string::npos) << err_.str();
    const auto north = std::string{"[workspace north]"};
    text.replace(text.find(north), north.size(), "[workspace n]");
    text.replace(text.find("workspaces = north"), 18, "workspaces = n");
    std::ofstream{local_file_} << text;
    EXPECT_EQ(run({"validate", example, local_file_}), exit_code::invalid);
    EXPECT_NE(err_.str().find("digest belongs to workspace 'north'"), std::string::npos) << err_.str();
}

TEST_F(tool_test, diff_lists_changes_and_reports_them_by_exit_code) {
    // Guards against scripts that cannot distinguish a changed file from an unchanged one.
    store_example_and_edit_two_copies();
    EXPECT_EQ(run({"diff", "booking", local_file_}), exit_code::documents_differ);
    EXPECT_NE(out_.str().find("1 changes from version 1\n  [class query] floor_wait: 3s -> 4s"),
              std::string::npos)
        << out_.str();
    EXPECT_EQ(run({"diff", "booking", directory_.path() + "/first.ini"}), exit_code::success);
}

TEST_F(tool_test, example_files_have_no_cross_document_faults) {
    // Guards against example documents that cannot be active at the same time.
    for (const std::string name : {"booking", "dispatch"}) {
        const auto path = CHICORYGAP_CONFIG_FOLDER "/" + name;
        EXPECT_EQ(run({"validate", path + ".ini", path + "-assistant.ini", "--json"}), exit_code::success)
            << out_.str();
    }
    EXPECT_EQ(run({"validate", "--settings", CHICORYGAP_CONFIG_FOLDER "/daemon.example.ini"}),
              exit_code::success);
}

TEST_F(tool_test, api_key_is_hashed_without_its_line_terminator) {
    // Guards against digests that match no API key because the line terminator was hashed as well.
    const auto digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    EXPECT_EQ(run({"hash-key"}, "abc\n"), exit_code::success);
    EXPECT_EQ(out_.str(), digest);
    EXPECT_EQ(run({"hash-key"}, "abc"), exit_code::success);
    EXPECT_EQ(out_.str(), digest);
    EXPECT_EQ(run({"hash-key"}, "\n"), exit_code::usage);
}

TEST_F(tool_test, unavailable_platform_and_wrong_usage_have_distinct_exit_codes) {
    // Guards against scripts that retry a command whose arguments are invalid.
    server_.faults().add({fault_kind::refuse, "", "", 0, {}});
    EXPECT_EQ(run({"apply", example}), exit_code::unavailable);
    EXPECT_EQ(run({"status", "--daemon", "127.0.0.1:1"}), exit_code::unavailable);
    for (const auto& arguments : std::vector<std::vector<std::string>>{{},
                                                                       {"frobnicate"},
                                                                       {"diff", "booking"},
                                                                       {"validate", "/nonexistent"},
                                                                       {"status", "--daemon", "x"}}) {
        EXPECT_EQ(run(arguments), exit_code::usage);
    }
}

TEST(table, columns_are_aligned_and_other_members_are_printed_first) {
    // Guards against misaligned columns in the table of burn rates.
    Poco::JSON::ParseHandler::Ptr handler = new Poco::JSON::ParseHandler{true};
    const auto v = Poco::JSON::Parser{handler}.parse(
        R"({"window":"1h","rows":[{"workspace":"north","burn":12.5},{"workspace":"w","burn":1,"late":true}]})");
    std::ostringstream out;
    print_table(v, out);
    EXPECT_EQ(out.str(),
              "window: 1h\n"
              "workspace  burn  late\n"
              "north      12.5  -\n"
              "w             1  true\n");
}

// Guards against a command that asks the daemon for another path or drops the rows of its answer.
TEST_F(tool_test, evacuations_of_a_daemon_are_printed_as_a_table) {
    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    std::string request;
    std::thread daemon{[&] {
        auto socket = listener.acceptConnection();
        std::array<char, 1024> buf{};
        request.assign(buf.data(), static_cast<std::size_t>(socket.receiveBytes(buf.data(), buf.size())));
        const std::string body = R"([{"zone":"zone-a","age_ms":4200,"source":"mirror","running":3}])";
        const auto answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
    }};
    const auto port = std::to_string(listener.address().port());
    EXPECT_EQ(run({"evacuations", "--daemon", "127.0.0.1:" + port}), exit_code::success) << err_.str();
    daemon.join();
    EXPECT_TRUE(request.starts_with("GET /evacuations ")) << request;
    EXPECT_NE(out_.str().find("zone-a"), std::string::npos) << out_.str();
    EXPECT_NE(out_.str().find("4200"), std::string::npos) << out_.str();
}

TEST_F(tool_test, configuration_is_checked_before_it_takes_effect) {
    // Guards against a fault that a script does not notice, and against API keys in its output.
    const std::string sound = R"({"version": 4, "routes": [
{"host": "a", "path_prefix": "/x/", "kind": "safe", "timeout_ms": 500, "target_latency_ms": 150, "service": "s"}],
"services": [{"name": "s"}], "tenants": [{"name": "north", "api_keys": ["secret"]}]})";
    std::ofstream{local_file_} << sound;
    std::ofstream{concurrent_file_} << sound;
    EXPECT_EQ(run({"check-configuration", local_file_}), exit_code::success) << out_.str();
    EXPECT_EQ(out_.str(), "0 errors, 0 warnings\n");
    replace_in_file(local_file_, "150", "1500");
    replace_in_file(local_file_, "\"secret\"", "\"secret\", \"secret2\"");
    EXPECT_EQ(run({"check-configuration", local_file_, "--against", concurrent_file_}), exit_code::invalid);
    EXPECT_NE(out_.str().find(local_file_ + ":2: error: routes[0]: target latency of 1500 ms is above"),
              std::string::npos)
        << out_.str();
    EXPECT_NE(out_.str().find("warning: version 4 is in force with other content"), std::string::npos);
    EXPECT_NE(out_.str().find("  route a/x/: target latency: 150 ms -> 1500 ms"), std::string::npos);
    EXPECT_EQ(out_.str().find("secret"), std::string::npos);
    EXPECT_EQ(run({"check-configuration", local_file_, "--against", concurrent_file_, "--json"}),
              exit_code::invalid);
    Poco::JSON::Parser parser;
    const auto j = parser.parse(out_.str()).extract<Poco::JSON::Object::Ptr>();
    EXPECT_FALSE(j->getValue<bool>("valid"));
    EXPECT_EQ(j->getArray("findings")->size(), 2U);
    EXPECT_EQ(j->getArray("differences")->size(), 2U);
    std::ofstream{local_file_} << "[]";
    EXPECT_EQ(run({"check-configuration", local_file_}), exit_code::invalid);
    EXPECT_EQ(run({"check-configuration", concurrent_file_, "--against", local_file_}), exit_code::usage);
    EXPECT_EQ(run({"check-configuration", local_file_ + ".none"}), exit_code::usage);
}

}  // namespace
}  // namespace chicorygap::tool
