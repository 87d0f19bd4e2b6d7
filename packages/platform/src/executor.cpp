#include "platform/executor.h"

#include "base/error.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace chicorygap::platform {

namespace {

struct job {
    std::uint64_t correlation = 0;
    call content;
    call_sink sink;
};

}  // namespace

struct executor::implementation {
    implementation(object_store& objects_in, order_service& orders_in, billing_service& billing_in, options o)
        : objects{objects_in}, orders{orders_in}, billing{billing_in}, settings{o} {
        for (std::size_t i = 0; i < settings.threads; ++i) {
            workers.emplace_back([this] { work(); });
        }
    }

    ~implementation() {
        {
            const std::lock_guard lock{mutex};
            stopping = true;
        }
        changed.notify_all();
        for (auto& w : workers) {
            w.join();
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    bool push(job& j) {
        const std::lock_guard lock{mutex};
        if (queue.size() >= settings.queue_length) {
            return false;
        }
        queue.push_back(std::move(j));
        changed.notify_one();
        return true;
    }

    void work() {
        while (auto j = pop()) {
            j->sink(j->correlation, run(j->content));
        }
    }

    std::optional<job> pop() {
        std::unique_lock lock{mutex};
        changed.wait(lock, [this] { return stopping || !queue.empty(); });
        if (stopping) {
            return std::nullopt;
        }
        std::optional<job> out{std::move(queue.front())};
        queue.pop_front();
        return out;
    }

    call_result run(const call& c) {
        try {
            return std::visit([this](const auto& it) { return run_one(it); }, c);
        } catch (const base::error& e) {
            return call_failure{e.code(), e.what()};
        }
    }

    call_result run_one(const read_call& c) { return objects.get(c.key, settings.timeout); }
    call_result run_one(const put_call& c) {
        return objects.put(c.key, c.value, c.expected, settings.timeout);
    }
    call_result run_one(const remove_call& c) { return objects.remove(c.key, c.expected, settings.timeout); }
    call_result run_one(const list_call& c) { return objects.list(c.prefix, settings.timeout); }
    call_result run_one(const order_call& c) {
        return orders.submit_guarded(c.order, c.may_send, settings.timeout);
    }
    call_result run_one(const usage_call& c) {
        return billing.report_guarded(c.report, c.may_send, settings.timeout);
    }

    object_store& objects;
    order_service& orders;
    billing_service& billing;
    const options settings;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<job> queue;
    bool stopping = false;
    std::vector<std::thread> workers;  // last, so that they start after everything they use
};

executor::executor(object_store& objects, order_service& orders, billing_service& billing, options o)
    : implementation_{std::make_unique<implementation>(objects, orders, billing, o)} {}

executor::~executor() = default;

void executor::submit(std::uint64_t correlation, call c, call_sink sink) {
    job j{correlation, std::move(c), std::move(sink)};
    if (!implementation_->push(j)) {
        j.sink(correlation,
               call_failure{base::result_code::platform_unavailable, "queue of platform calls is full"});
    }
}

}  // namespace chicorygap::platform
