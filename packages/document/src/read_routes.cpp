#include "document_parser.h"

#include <algorithm>
#include <array>

namespace chicorygap::document {

namespace {

constexpr std::array http_methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
constexpr const char* method_rule = "GET, HEAD, POST, PUT, PATCH, DELETE";

bool is_path(const std::string& text) {
    return text.starts_with('/') && text.find_first_of("?# \t") == std::string::npos &&
           text.find("//") == std::string::npos && text.find("/../") == std::string::npos;
}

std::string names_of_classes(const service_document& d) {
    std::string out;
    for (const auto& c : d.classes) {
        out += (out.empty() ? "" : ", ") + c.id.str();
    }
    return out;
}

}  // namespace

void document_parser::read_route(section_reader& r, const std::string& name) {
    route out;
    out.name = name;
    out.path_prefix = r.text("path");
    if (!is_path(out.path_prefix) && r.has("path")) {
        r.report("path", "'" + out.path_prefix + "' is not a path",
                 "a path that begins with '/', without query");
    }
    out.backend_path = r.text("backend_path", "");
    if (!out.backend_path.empty() && !is_path(out.backend_path)) {
        r.report("backend_path", "'" + out.backend_path + "' is not a path",
                 "a path that begins with '/', without query");
    }
    out.methods = r.list("methods");
    if (out.methods.empty()) {
        r.report("methods", "route has no method", method_rule);
    }
    for (const auto& m : out.methods) {
        if (std::find(http_methods.begin(), http_methods.end(), m) == http_methods.end()) {
            r.report("methods", "'" + m + "' is not a valid choice", method_rule);
        }
    }
    out.class_id = base::class_id{r.name("class")};
    if (r.has("class") && find_class(document_, out.class_id) == nullptr) {
        r.report("class", "class '" + out.class_id.str() + "' is not defined", names_of_classes(document_));
    }
    read_route_admission(r, out);
    check_route(r, out);
    document_.routes.push_back(std::move(out));
}

void document_parser::read_route_admission(section_reader& r, route& out) {
    const auto admitted = r.list("workspaces");
    out.open_to_all = admitted == std::vector<std::string>{"all"};
    if (admitted.empty()) {
        r.report("workspaces", "route admits no workspace", "all, or names of workspaces");
    }
    for (const auto& w : admitted) {
        if (out.open_to_all) {
            break;
        }
        out.workspaces.emplace_back(w);
        if (!workspace_names_.contains(w)) {
            r.report("workspaces", "workspace '" + w + "' is not defined", "all, or names of workspaces");
        }
    }
    out.repeatable = r.flag("repeatable", true);
    out.idempotency_key_required = r.flag("idempotency_key_required", !out.repeatable);
}

// Two routes of the same prefix must not share a method: the class of a request would depend on their order.
void document_parser::check_route(section_reader& r, const route& added) {
    for (const auto& other : document_.routes) {
        if (other.path_prefix != added.path_prefix) {
            continue;
        }
        for (const auto& m : added.methods) {
            if (std::find(other.methods.begin(), other.methods.end(), m) != other.methods.end()) {
                r.report("path",
                         m + " " + added.path_prefix + " is also matched by route '" + other.name + "'");
            }
        }
    }
}

}  // namespace chicorygap::document
