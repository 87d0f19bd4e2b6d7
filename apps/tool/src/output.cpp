#include "commands.h"

#include <Poco/JSON/Array.h>

namespace chicorygap::tool {

namespace {

constexpr unsigned json_indent = 2;

}  // namespace

Poco::JSON::Object::Ptr make_json() {
    return new Poco::JSON::Object{Poco::JSON_PRESERVE_KEY_ORDER};
}

Poco::JSON::Array::Ptr to_json(const std::vector<document::fault>& faults) {
    Poco::JSON::Array::Ptr out = new Poco::JSON::Array;
    for (const auto& f : faults) {
        auto j = make_json();
        j->set("file", f.file);
        j->set("line", f.line);
        j->set("section", f.section);
        j->set("key", f.key);
        j->set("reason", f.reason);
        j->set("allowed", f.allowed);
        out->add(j);
    }
    return out;
}

Poco::JSON::Array::Ptr to_json(const std::vector<document::change>& changes) {
    Poco::JSON::Array::Ptr out = new Poco::JSON::Array;
    for (const auto& c : changes) {
        auto j = make_json();
        j->set("section", c.section);
        j->set("key", c.key);
        j->set("before", c.before);
        j->set("after", c.after);
        out->add(j);
    }
    return out;
}

void print(const Poco::JSON::Object& j, std::ostream& out) {
    j.stringify(out, json_indent);
    out << '\n';
}

void print(const std::vector<document::change>& changes, std::ostream& out) {
    for (const auto& c : changes) {
        out << "  " << to_string(c) << '\n';
    }
}

void print_faults(const command_line& c, const streams& s, const std::vector<document::fault>& faults) {
    if (c.json) {
        auto j = make_json();
        j->set("valid", faults.empty());
        j->set("faults", to_json(faults));
        print(*j, s.out);
    } else if (!faults.empty()) {
        s.err << to_string(faults) << '\n';
    }
}

}  // namespace chicorygap::tool
