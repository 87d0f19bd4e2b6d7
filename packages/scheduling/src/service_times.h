/// @file
/// Measured times of the requests of one service.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace chicorygap::scheduling {

class server_pace;

/// Times that requests of a service take on an average server, and how they differ on single servers.
///
/// Load pattern: a daemon of a large fleet sees four to ten requests per second, so that each time is
/// averaged over all servers, and single servers are described only by their deviation from the average.
class service_times {
public:
    /// Records the first event of a generation.
    /// @param pace server of the generation.
    /// @param expected time that was expected on an average server, with the prefill queue known then.
    /// @param measured time since the start.
    void record_first_event(server_pace& pace, base::duration expected, base::duration measured,
                            base::time_point now);

    /// Records the end of a stream.
    /// @param output_tokens expected length of the output.
    /// @param measured time since the first event.
    void record_stream(std::int64_t output_tokens, base::duration measured);

    /// Records a request that ended with success.
    /// @param pace server of the request, if its time shows the speed of the server; null otherwise.
    /// @param measured time since the start.
    void record_request(server_pace* pace, base::duration measured, base::time_point now);

    /// @return measured relative to expected times to the first event, averaged over all servers.
    [[nodiscard]] double first_event_ratio() const;
    /// @return expected time from the first event to the end of a stream; 0 until measured.
    [[nodiscard]] base::duration stream_time(std::int64_t output_tokens) const;
    /// @return mean time from start to end of a request; 0 until measured.
    [[nodiscard]] base::duration request_time() const;

private:
    /// Average of the last values, from the first one on.
    struct average {
        double value = 0;
        int count = 0;
        void add(double v);
    };

    average log_first_event_ratio_;
    average ms_per_output_token_;
    average request_ms_;
};

}  // namespace chicorygap::scheduling
