/// @file
/// Storage of the queued and running requests of a controller.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicorygap::admission {

/// Index of a request in the table. It is reused after the request is erased.
using request_index = std::uint32_t;
inline constexpr request_index no_request = UINT32_MAX;

/// One queued or running request.
struct request {
    base::request_id id;
    std::uint32_t service_class = 0;
    std::uint32_t workspace = 0;
    std::int64_t prompt_tokens = 0;
    std::optional<std::int64_t> max_output_tokens;
    base::time_point deadline;
    bool resumable = true;
    bool running = false;
    bool resumed = false;
    bool started_by_floor = false;
    int preemptions = 0;
    std::int64_t tokens_sent = 0;
    /// Estimated tokens (prompt and output) and slot time of the current run, or of the next one if queued.
    double estimated_tokens = 0;
    double estimated_slot_seconds = 0;
    /// Tokens charged to the workspace's token limit so far.
    double charged_tokens = 0;
    base::time_point started_at;
    /// Links of the queue of its workspace.
    request_index previous = no_request;
    request_index next = no_request;
};

/// Slab allocator of requests with lookup by id.
class request_table {
public:
    /// @param r request whose id is not in the table.
    /// @return index of the new entry.
    request_index insert(request r);
    void erase(request_index i);

    /// @return index of the request, or `no_request`.
    [[nodiscard]] request_index find(const base::request_id& id) const;

    request& operator[](request_index i) { return slab_[i]; }
    const request& operator[](request_index i) const { return slab_[i]; }

private:
    std::vector<request> slab_;
    std::vector<request_index> free_;
    std::unordered_map<base::request_id, request_index> by_id_;
};

}  // namespace chicorygap::admission
