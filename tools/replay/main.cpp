#include "replay/metrics.h"
#include "replay/simulation.h"
#include "replay/trace.h"

#include <fstream>
#include <iostream>

namespace {

using namespace chicorygap::replay;

// One line per expectation: whether the product's figures are as written down before the run, and whether a
// baseline is ahead.
void write_expectations(std::ostream& out, const trace& t, const std::vector<class_metrics>& product) {
    for (const auto& e : t.expectations) {
        const auto value = measured(e, product);
        const bool met = value && (e.at_least ? *value >= e.bound : *value <= e.bound);
        out << "expected " << t.name << ' ' << e.service_class << ' ' << e.metric
            << (e.at_least ? " >= " : " <= ") << e.bound << ", measured "
            << (value ? std::to_string(*value) : "nothing") << ": " << (met ? "met" : "MISSED") << '\n';
    }
}

int replay_file(const char* path) {
    std::ifstream in{path};
    if (!in) {
        std::cerr << path << ": cannot be read\n";
        return 1;
    }
    trace t;
    try {
        t = read_trace(in);
    } catch (const trace_error& e) {
        std::cerr << path << ": " << e.what() << '\n';
        return 1;
    }
    for (const auto k : all_policies) {
        const auto m = simulation{t, k}.run();
        write_csv(std::cout, t.name, std::string{to_string(k)}, m);
        if (k == policy_kind::chicorygap) {
            write_expectations(std::cerr, t, m);
        }
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 2) {
        std::cerr << "usage: replay_traces FILE.trace...\n";
        return 2;
    }
    std::cout
        << "trace,policy,class,attainment,goodput_tokens_per_s,wasted_fraction,worst_workspace_attainment,"
           "refused,backend_server_seconds,recovery_s\n";
    int failed = 0;
    for (int i = 1; i < argc; ++i) {
        failed += replay_file(argv[i]);
    }
    return failed == 0 ? 0 : 1;
}
