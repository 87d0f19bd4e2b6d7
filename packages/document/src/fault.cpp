#include "document/fault.h"

namespace chicorygap::document {

std::string to_string(const fault& f) {
    std::string out = f.file + ":";
    if (f.line > 0) {
        out += std::to_string(f.line) + ":";
    }
    if (!f.section.empty()) {
        out += " [" + f.section + "]";
    }
    if (!f.key.empty()) {
        out += " " + f.key + ":";
    }
    out += " " + f.reason;
    if (!f.allowed.empty()) {
        out += "; allowed: " + f.allowed;
    }
    return out;
}

std::string to_string(const std::vector<fault>& faults) {
    std::string out;
    for (const auto& f : faults) {
        out += (out.empty() ? "" : "\n") + to_string(f);
    }
    return out;
}

}  // namespace chicorygap::document
