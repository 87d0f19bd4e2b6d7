#include "base/run_state.h"

namespace chicorygap::base {

std::string_view to_string(run_state s) noexcept {
    switch (s) {
        case run_state::not_run:
            return "not_run";
        case run_state::run:
            return "run";
        case run_state::unknown:
            break;
    }
    return "unknown";
}

run_state combine(run_state a, run_state b) noexcept {
    if (a == run_state::unknown || b == run_state::unknown) {
        return run_state::unknown;
    }
    return (a == run_state::run || b == run_state::run) ? run_state::run : run_state::not_run;
}

}  // namespace chicorygap::base
