/// @file
/// Outcomes of all requests.
#pragma once

#include "caller.h"
#include "mix.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace chicorygap::load_client {

/// Orders and their runs as counted by the stand-ins.
struct order_counts {
    int orders = 0;
    int runs = 0;
    /// Orders that ran more than once.
    int double_runs = 0;
    /// Orders that ran although their caller was told "not run".
    int false_not_run = 0;
    /// Those of them whose first try was refused. In the others, an earlier try had ended without an answer.
    int false_not_run_first_try = 0;
};

/// Collects outcomes by row and by order. Safe for use by several threads.
class ledger {
public:
    void record(const planned_request& r, const outcome& o);

    /// Prints the outcomes by row.
    void print() const;

    /// Counts orders and their runs.
    /// @param backends addresses of the stand-ins; each must answer.
    [[nodiscard]] order_counts count_orders(const std::vector<std::string>& backends) const;

    /// Compares the outcomes with what the backend stand-ins recorded.
    /// @param backends addresses of the stand-ins.
    /// @return one line per broken promise.
    [[nodiscard]] std::vector<std::string> broken_promises(const std::vector<std::string>& backends) const;

private:
    struct row {
        int sent = 0;
        int answered = 0;
        int not_run = 0;
        int other_refusals = 0;
        int cut = 0;
        int wrong = 0;
        int retried = 0;
        std::map<int, int> codes;
    };

    mutable std::mutex mutex_;
    std::map<std::string, row> rows_;
    std::map<std::string, outcome> orders_;
    std::vector<std::string> faults_;
};

}  // namespace chicorygap::load_client
