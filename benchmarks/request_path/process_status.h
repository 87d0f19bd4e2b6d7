/// @file
/// Resource use of another process.
#pragma once

namespace chicorygap::request_path {

struct process_status {
    double resident_mb = 0;
    double peak_resident_mb = 0;
    double cpu_seconds = 0;
    long threads = 0;
};

/// @param pid process id. @return its figures from /proc.
[[nodiscard]] process_status read_process(int pid);

}  // namespace chicorygap::request_path
