#include "process_status.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace chicorygap::request_path {

namespace {

constexpr double kb_per_mb = 1024;

double cpu_seconds(const std::string& folder) {
    std::ifstream in{folder + "/stat"};
    std::string text;
    std::getline(in, text);
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    constexpr int fields_before_utime = 11;
    std::string skipped;
    for (int i = 0; i < fields_before_utime; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace

process_status read_process(int pid) {
    const auto folder = "/proc/" + std::to_string(pid);
    process_status s;
    std::ifstream in{folder + "/status"};
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields{line};
        std::string name;
        double value = 0;
        fields >> name >> value;
        if (name == "VmRSS:") {
            s.resident_mb = value / kb_per_mb;
        } else if (name == "VmHWM:") {
            s.peak_resident_mb = value / kb_per_mb;
        } else if (name == "Threads:") {
            s.threads = static_cast<long>(value);
        }
    }
    s.cpu_seconds = cpu_seconds(folder);
    return s;
}

}  // namespace chicorygap::request_path
