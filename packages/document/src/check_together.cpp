#include "document/parser.h"

#include <map>
#include <utility>

namespace chicorygap::document {

namespace {

struct place {
    std::string file;
    std::string name;
};

/// Collects faults over several documents.
class joint_check {
public:
    void add(const named_document& d) {
        check_service(d);
        for (const auto& r : d.document->routes) {
            check_route(d, r);
        }
        for (const auto& w : d.document->workspaces) {
            check_keys(d, w);
        }
    }

    std::vector<fault> take() { return std::move(faults_); }

private:
    void check_service(const named_document& d) {
        const auto& name = d.document->name.str();
        const auto [it, is_new] = services_.emplace(name, d.file);
        if (!is_new) {
            faults_.push_back(
                {d.file, 0, "service", "name", "service '" + name + "' is also in " + it->second, ""});
        }
    }

    void check_route(const named_document& d, const route& r) {
        for (const auto& m : r.methods) {
            const auto call = m + " " + r.path_prefix;
            const auto [it, is_new] = calls_.emplace(call, place{d.file, r.name});
            if (!is_new && it->second.file != d.file) {
                faults_.push_back(
                    {d.file, 0, "route " + r.name, "path",
                     call + " is also matched by route '" + it->second.name + "' of " + it->second.file, ""});
            }
        }
    }

    void check_keys(const named_document& d, const workspace& w) {
        for (const auto& k : w.keys) {
            const auto [it, is_new] = keys_.emplace(k.digest.str(), place{d.file, w.id.str()});
            if (!is_new && it->second.name != w.id.str()) {
                faults_.push_back(
                    {d.file, 0, "workspace " + w.id.str(), "key",
                     "digest belongs to workspace '" + it->second.name + "' in " + it->second.file,
                     "one workspace name per key in all documents"});
            }
        }
    }

    std::map<std::string, std::string> services_;
    std::map<std::string, place> calls_;
    std::map<std::string, place> keys_;
    std::vector<fault> faults_;
};

}  // namespace

std::vector<fault> check_together(const std::vector<named_document>& documents) {
    joint_check check;
    for (const auto& d : documents) {
        check.add(d);
    }
    return check.take();
}

}  // namespace chicorygap::document
