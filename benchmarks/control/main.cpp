// Cost of the control plane per daemon, for the capacity calculation: control_benchmark [FILE.json]
// Decision objects of many daemons run in one process with a manual clock; every size is a child process.
#include "series.h"

#include <exception>
#include <fstream>
#include <iostream>

namespace {

using namespace chicorygap::control_benchmark;

std::vector<series> all_series() {
    std::vector<series> out;
    for (const auto& part : {membership_series(), distribution_series(), idempotency_series(), usage_series(),
                             lease_series(), memory_series()}) {
        out.insert(out.end(), part.begin(), part.end());
    }
    return out;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        std::vector<row> rows;
        for (const auto& s : all_series()) {
            const auto more = run(s);
            rows.insert(rows.end(), more.begin(), more.end());
        }
        write_table(std::cout, rows);
        if (argc > 1) {
            std::ofstream out{argv[1]};
            write_json(out, rows);
            return out ? 0 : 1;
        }
        return 0;
    } catch (const std::exception& e) {
        std::cerr << "control_benchmark: " << e.what() << '\n';
        return 1;
    }
}
