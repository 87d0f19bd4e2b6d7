#include "caller.h"
#include "ledger.h"
#include "mix.h"
#include "options.h"

#include <atomic>
#include <exception>
#include <iostream>
#include <thread>
#include <vector>

namespace {

using namespace chicorygap::load_client;

void run_caller(const options& o, int number, std::atomic<int>& left, ledger& results) {
    mix requests{o.deployments, o.seed, number, o.orders_only};
    caller c{o.daemons, static_cast<std::size_t>(number)};
    const auto end = chicorygap::base::boot_clock::now() + o.length;
    const bool timed = o.length > chicorygap::base::duration::zero();
    while (timed ? chicorygap::base::boot_clock::now() < end : left-- > 0) {
        const auto r = requests.next();
        results.record(r, c.send(r));
        std::this_thread::sleep_for(o.pause);
    }
}

int run(const options& o) {
    ledger results;
    std::atomic<int> left{o.requests};
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(o.callers));
    for (int n = 0; n < o.callers; n++) {
        callers.emplace_back([&, n] { run_caller(o, n, left, results); });
    }
    for (auto& t : callers) {
        t.join();
    }
    results.print();
    if (o.orders_only) {
        const auto c = results.count_orders(o.backends);
        std::cout << "orders " << c.orders << ", runs " << c.runs << ", double runs " << c.double_runs
                  << ", false not run " << c.false_not_run << " (on the first try "
                  << c.false_not_run_first_try << ")\n";
    }
    const auto broken = results.broken_promises(o.backends);
    for (const auto& line : broken) {
        std::cout << "BROKEN " << line << '\n';
    }
    std::cout << "broken promises: " << broken.size() << '\n';
    return broken.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        const auto o = parse_options(argc, argv);
        return o ? run(*o) : 2;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
