#include "journal.h"

#include <algorithm>

namespace chicorygap::standin_backend {

namespace {

constexpr std::size_t max_received = 10'000;

}  // namespace

void journal::add(received_request r) {
    {
        const std::scoped_lock lock{mutex_};
        received_.push_back(std::move(r));
        ++received_total_;
        if (received_.size() > max_received) {
            received_.pop_front();
        }
    }
    changed_.notify_all();
}

std::vector<received_request> journal::received() const {
    const std::scoped_lock lock{mutex_};
    return {received_.begin(), received_.end()};
}

bool journal::wait_for_received(std::size_t n, base::duration limit) const {
    std::unique_lock lock{mutex_};
    return changed_.wait_for(lock, limit, [&] { return received_total_ >= n; });
}

std::uint64_t journal::count_run(const std::string& key) {
    const std::scoped_lock lock{mutex_};
    return ++runs_[key];
}

std::map<std::string, std::uint64_t> journal::runs() const {
    const std::scoped_lock lock{mutex_};
    return runs_;
}

bool journal::accept(const order_entry& o, bool check) {
    const std::scoped_lock lock{mutex_};
    if (check && o.fencing_token < highest_token_) {
        return false;
    }
    highest_token_ = std::max(highest_token_, o.fencing_token);
    const bool known =
        std::any_of(orders_.begin(), orders_.end(), [&](const auto& e) { return e.id == o.id; });
    if (!known) {
        orders_.push_back(o);
    }
    return true;
}

std::vector<order_entry> journal::orders() const {
    const std::scoped_lock lock{mutex_};
    return orders_;
}

void journal::inject(const fault& f) {
    const std::scoped_lock lock{mutex_};
    if (f.kind == fault_kind::clear) {
        faults_.clear();
        down_until_ = {};
    } else if (f.kind == fault_kind::restart) {
        down_until_ = base::boot_clock::now() + f.delay;
    } else {
        faults_.push_back(f);
    }
}

std::optional<fault> journal::take_fault(const std::string& path) {
    const std::scoped_lock lock{mutex_};
    const auto it = std::find_if(faults_.begin(), faults_.end(),
                                 [&](const fault& f) { return path.starts_with(f.path); });
    if (it == faults_.end()) {
        return std::nullopt;
    }
    const fault f = *it;
    if (--it->count == 0) {
        faults_.erase(it);
    }
    return f;
}

bool journal::down() const {
    const std::scoped_lock lock{mutex_};
    return base::boot_clock::now() < down_until_;
}

}  // namespace chicorygap::standin_backend
