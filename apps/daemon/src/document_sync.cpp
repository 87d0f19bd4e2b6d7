#include "document_sync.h"

#include "base/error.h"
#include "base/log.h"
#include "document/parser.h"

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>

namespace chicorygap::daemon_app {

namespace {

std::string read_file(const std::string& path) {
    std::ifstream in{path};
    if (!in) {
        throw base::error{base::result_code::settings_invalid, "cannot read document file " + path};
    }
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

}  // namespace

document_sync::document_sync(gateway::registry& r, const settings::daemon_settings& s,
                             platform::object_store* store)
    : registry_{r}, settings_{s}, store_{store}, ready_{store == nullptr} {}

void document_sync::load_files() {
    for (const auto& path : settings_.document_files) {
        auto d = document::parse_or_throw(read_file(path), path);
        registry_.apply(std::make_shared<const document::service_document>(std::move(d)));
    }
}

void document_sync::refresh() {
    apply_all(store_->list(document_prefix, settings_.timeouts.platform));
    ready_ = true;
}

void document_sync::watch() {
    if (!ready_) {
        refresh();
        return;
    }
    apply_all(store_->watch(document_prefix, seen_, settings_.timeouts.platform_watch));
}

void document_sync::apply_all(const std::vector<platform::object>& objects) {
    for (const auto& o : objects) {
        if (!o.deleted) {
            apply(o.key, o.value, o.version);
        }
        seen_ = std::max(seen_, o.version);
    }
}

bool document_sync::apply(const std::string& key, const std::string& text, std::uint64_t version) {
    const std::lock_guard lock{mutex_};
    if (version <= versions_[key]) {
        return false;
    }
    auto parsed = document::parse(text, key);
    if (!parsed.document) {
        faults_[key] = parsed.faults.empty() ? "invalid" : document::to_string(parsed.faults.front());
        base::log_line{base::log_level::warning, "configuration",
                       "Document refused; the last valid one stays in force."}
            .field("object", key)
            .field("version", static_cast<long long>(version))
            .field("fault", faults_[key])
            .code(base::result_code::document_invalid);
        return false;
    }
    versions_[key] = version;
    faults_.erase(key);
    registry_.apply(std::make_shared<const document::service_document>(std::move(*parsed.document)));
    base::log_line{base::log_level::info, "configuration", "Document in force."}
        .field("object", key)
        .field("version", static_cast<long long>(version));
    return true;
}

std::map<std::string, std::uint64_t> document_sync::versions() const {
    const std::lock_guard lock{mutex_};
    return versions_;
}

std::map<std::string, std::string> document_sync::faults() const {
    const std::lock_guard lock{mutex_};
    return faults_;
}

}  // namespace chicorygap::daemon_app
