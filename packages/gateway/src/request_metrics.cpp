#include "gateway/request_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <string>

namespace chicorygap::gateway {

namespace {

double seconds(base::duration d) {
    return std::chrono::duration<double>(d).count();
}

// 0.43 s and 0.063 s are the latency targets of the design size, so they are bucket borders.
const prometheus::Histogram::BucketBoundaries first_token_buckets{0.01, 0.03, 0.1, 0.2, 0.43, 1, 3, 10, 30};
const prometheus::Histogram::BucketBoundaries gap_buckets{0.005, 0.01, 0.02, 0.04, 0.063, 0.1, 0.25, 1, 5};

}  // namespace

struct request_metrics::families {
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& tokens;
    prometheus::Family<prometheus::Counter>& attempts;
    prometheus::Family<prometheus::Histogram>& first_token;
    prometheus::Family<prometheus::Histogram>& gap;
};

request_metrics::request_metrics(prometheus::Registry& r)
    : families_{new families{
          prometheus::BuildCounter()
              .Name("chicorygap_requests_total")
              .Help("Ended requests by result code")
              .Register(r),
          prometheus::BuildCounter().Name("chicorygap_tokens_total").Help("Tokens by direction").Register(r),
          prometheus::BuildCounter()
              .Name("chicorygap_attempts_total")
              .Help("Attempts sent to backend servers")
              .Register(r),
          prometheus::BuildHistogram()
              .Name("chicorygap_first_token_seconds")
              .Help("Time to first token or body byte")
              .Register(r),
          prometheus::BuildHistogram()
              .Name("chicorygap_token_gap_seconds")
              .Help("Mean time between tokens of a stream")
              .Register(r),
      }} {}

request_metrics::~request_metrics() = default;

void request_metrics::record(const request_record& r) {
    const prometheus::Labels labels{{"service", r.service.str()}, {"class", r.service_class.str()}};
    auto with_code = labels;
    with_code["code"] = std::to_string(static_cast<int>(r.code));
    with_code["run_state"] = to_string(r.state);
    families_->requests.Add(with_code).Increment();
    families_->attempts.Add(labels).Increment(r.attempts);
    auto direction = labels;
    direction["direction"] = "prompt";
    families_->tokens.Add(direction).Increment(static_cast<double>(r.prompt_tokens));
    direction["direction"] = "output";
    families_->tokens.Add(direction).Increment(static_cast<double>(r.output_tokens));
    if (r.first_token) {
        families_->first_token.Add(labels, first_token_buckets).Observe(seconds(*r.first_token));
    }
    if (r.mean_gap > base::duration::zero()) {
        families_->gap.Add(labels, gap_buckets).Observe(seconds(r.mean_gap));
    }
}

}  // namespace chicorygap::gateway
