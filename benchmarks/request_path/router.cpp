// Front and backend without admission and routing: every request goes to one backend server.
#include "backend/http_backend_client.h"
#include "front/server.h"

#include <atomic>
#include <csignal>
#include <iostream>
#include <string>

namespace {

using namespace chicorygap;

constexpr int router_threads = 2400;

std::uint16_t engine_port = 0;

backend::backend_request make_attempt(const front::call& c) {
    backend::backend_request r;
    r.id = c.id;
    r.server = {"127.0.0.1", engine_port};
    r.method = c.method;
    r.target = c.target;
    r.fields = c.fields;
    r.body = c.body;
    r.kind = backend::call_kind::chat_stream;
    return r;
}

void execute(backend::backend_client& client, const front::call& c, front::responder& out,
             const front::caller_monitor& monitor) {
    backend::stream_end end;
    backend::answer_sink sink;
    sink.on_token = [&](const backend::token_delta& t) { out.token(t); };
    sink.on_end = [&](const backend::stream_end& e) { end = e; };
    backend::cancel_token cancel;
    cancel.poll = [&]() -> std::optional<base::result_code> {
        return monitor.gone() ? std::optional{base::result_code::caller_gone} : std::nullopt;
    };
    const auto outcome = client.call(make_attempt(c), sink, cancel);
    if (outcome.complete) {
        out.end(end);
    } else {
        out.fail({outcome.code, outcome.state, outcome.detail, outcome.retry_after});
    }
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: request_path_router ENGINE_PORT\n";
        return 1;
    }
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    engine_port = static_cast<std::uint16_t>(std::stoi(argv[1]));
    backend::http_backend_client client;
    std::atomic<std::uint64_t> ids{0};
    front::hooks h;
    h.authorize = [](const front::access_query&) -> front::access_decision { return front::grant{}; };
    h.next_id = [&] { return base::request_id{"bench-" + std::to_string(++ids)}; };
    h.execute = [&](const front::call& c, front::responder& out, const front::caller_monitor& m) {
        execute(client, c, out, m);
    };
    front::server_options o;
    o.threads = router_threads;
    front::server server{o, h};
    server.start();
    std::cout << server.port() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    server.stop();
    return 0;
}
