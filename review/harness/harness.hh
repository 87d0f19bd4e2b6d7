/// @file
/// Small stand-ins of the platform for the cases of this review: object store, usage interface, servers, clients
/// and daemons as processes. Loopback addresses and the real clock only. Nothing here is part of the product.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace harness {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Exit codes of a case.
enum class verdict { held = 0, broken = 1, not_run = 2 };

/// Thrown where the case cannot run.
struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// ---------------------------------------------------------------- record

/// What was sent, answered and run: `record.txt` in the folder of the case. Lines bear milliseconds since the start.
class record {
public:
    explicit record(const std::string& path) : out_{path}, began_{steady::now()} {}

    template <typename... T>
    void line(const T&... parts) {
        std::ostringstream text;
        (text << ... << parts);
        const std::lock_guard lock{mutex_};
        const auto ms = std::chrono::duration_cast<milliseconds>(steady::now() - began_).count();
        out_ << ms << " ms  " << text.str() << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady::time_point began_;
};

// ---------------------------------------------------------------- HTTP

struct message {
    std::string first;  ///< request line or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool complete = false;  ///< the whole body arrived

    [[nodiscard]] std::string field(std::string_view name) const {
        for (const auto& [key, value] : fields) {
            if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string word(int n) const {
        std::istringstream in{first};
        std::string w;
        for (int i = 0; i <= n; ++i) {
            w.clear();
            in >> w;
        }
        return w;
    }
    [[nodiscard]] std::string method() const { return word(0); }
    [[nodiscard]] std::string target() const { return word(1); }
    [[nodiscard]] int status() const { return first.empty() ? 0 : std::atoi(word(1).c_str()); }
};

/// One TCP connection with blocking calls and time limits.
class connection {
public:
    explicit connection(int fd) : fd_{fd} {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void close() {
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
    }
    /// Wakes a thread that reads here; the descriptor stays open.
    void shut_down() const { ::shutdown(fd_, SHUT_RDWR); }
    void reset() {
        const linger l{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &l, sizeof l);
        close();
    }
    [[nodiscard]] int fd() const { return fd_; }
    [[nodiscard]] bool open() const { return fd_ >= 0; }
    [[nodiscard]] const std::string& unread() const { return buffer_; }

    bool send(std::string_view bytes) const {
        while (!bytes.empty()) {
            const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// @return false at the end of the connection or of the time.
    bool fill(steady::time_point until) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        pollfd p{fd_, POLLIN, 0};
        if (fd_ < 0 || ::poll(&p, 1, static_cast<int>(std::max<std::int64_t>(0, left))) <= 0) {
            return false;
        }
        char bytes[65536];
        const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) {
            ended_ = true;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    [[nodiscard]] bool ended() const { return ended_; }

    /// Reads a request or a response.
    /// @return nothing if no whole head arrived in time.
    std::optional<message> read(steady::time_point until) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        message m;
        std::istringstream head{buffer_.substr(0, end)};
        buffer_.erase(0, end + 4);
        std::string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (m.first.empty()) {
                m.first = line;
            } else if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                m.fields.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
            }
        }
        m.complete = m.field("Transfer-Encoding") == "chunked" ? read_chunks(m, until) : read_length(m, until);
        return m;
    }

private:
    bool read_length(message& m, steady::time_point until) {
        const auto length = static_cast<std::size_t>(std::atoll(m.field("Content-Length").c_str()));
        while (buffer_.size() < length) {
            if (!fill(until)) {
                m.body = std::exchange(buffer_, {});
                return false;
            }
        }
        m.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }

    bool read_chunks(message& m, steady::time_point until) {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return false;
                }
            }
            const auto size = std::stoul(buffer_.substr(0, end), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2) {
                if (!fill(until)) {
                    return false;
                }
            }
            m.body += buffer_.substr(end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int fd_;
    std::string buffer_;
    bool ended_ = false;
};

using connection_ptr = std::shared_ptr<connection>;

inline sockaddr_in to_sockaddr(const std::string& host, std::uint16_t port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &a.sin_addr);
    return a;
}

inline connection_ptr connect_to(const std::string& host, std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto a = to_sockaddr(host, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<connection>(fd);
}

/// @return a TCP port of the address on which nobody listens.
inline std::uint16_t free_port(const std::string& host) {
    static std::set<std::uint16_t> given;
    while (true) {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        auto a = to_sockaddr(host, 0);
        socklen_t length = sizeof a;
        if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
            ::close(fd);
            throw cannot_run{"no free port at " + host};
        }
        getsockname(fd, reinterpret_cast<sockaddr*>(&a), &length);
        ::close(fd);
        if (given.insert(ntohs(a.sin_port)).second) {
            return ntohs(a.sin_port);
        }
    }
}

/// Accepts connections on a free port and runs `serve` for each in a thread of its own.
class listener {
public:
    listener(std::string host, std::function<void(const connection_ptr&)> serve)
        : host_{std::move(host)}, serve_{std::move(serve)} {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto a = to_sockaddr(host_, 0);
        socklen_t length = sizeof a;
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || ::listen(fd_, 512) != 0) {
            throw cannot_run{"cannot listen at " + host_};
        }
        getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &length);
        port_ = ntohs(a.sin_port);
        thread_ = std::thread{[this] { accept_all(); }};
    }
    ~listener() {
        stopping_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        ::close(fd_);
        std::vector<std::thread> threads;
        {
            const std::lock_guard lock{mutex_};
            for (const auto& c : connections_) {
                if (const auto open = c.lock()) {
                    open->shut_down();
                }
            }
            threads.swap(threads_);
        }
        for (auto& t : threads) {
            t.join();
        }
    }
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string address() const { return host_ + ':' + std::to_string(port_); }
    [[nodiscard]] bool stopping() const { return stopping_; }

private:
    void accept_all() {
        while (!stopping_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopping_) {
                    return;
                }
                std::this_thread::sleep_for(5ms);
                continue;
            }
            const auto c = std::make_shared<connection>(fd);
            const std::lock_guard lock{mutex_};
            connections_.emplace_back(c);
            threads_.emplace_back([this, c] { serve_(c); });
        }
    }

    std::string host_;
    std::function<void(const connection_ptr&)> serve_;
    int fd_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<std::weak_ptr<connection>> connections_;
    std::vector<std::thread> threads_;
    std::thread thread_;
};

inline std::string response(int status, const std::string& body, const std::string& fields = {}) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------- object store

/// The platform's metadata store: objects by kind and name, lists, watches, conditional changes.
class object_store {
public:
    explicit object_store(const std::string& host)
        : listener_{host, [this](const connection_ptr& c) { serve(c); }} {}
    ~object_store() {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
        changed_.notify_all();
    }

    [[nodiscard]] std::string address() const { return listener_.address(); }

    void put(const std::string& kind, const std::string& name, const std::string& spec) {
        const std::lock_guard lock{mutex_};
        store(kind, name, spec, false);
    }
    void remove(const std::string& kind, const std::string& name) {
        const std::lock_guard lock{mutex_};
        erase(kind, name);
    }
    /// While set, every call gets 503, which says that nothing was done.
    void set_down(bool down) {
        const std::lock_guard lock{mutex_};
        down_ = down;
        changed_.notify_all();
    }

private:
    struct object {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string json;
    };

    static std::string json(const std::string& name, const object& o) {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(o.revision) +
               R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + o.spec + R"(,"status":null})";
    }

    void store(const std::string& kind, const std::string& name, const std::string& spec, bool only_changes) {
        auto& o = objects_[kind][name];
        if (only_changes && o.revision != 0 && o.spec == spec) {
            return;
        }
        o = {spec, ++revision_};
        history_.push_back({revision_, kind, R"({"object":)" + json(name, o) + R"(,"tombstone":false})"});
        changed_.notify_all();
    }

    void erase(const std::string& kind, const std::string& name) {
        auto& of_kind = objects_[kind];
        const auto it = of_kind.find(name);
        if (it == of_kind.end()) {
            return;
        }
        auto o = it->second;
        o.revision = ++revision_;
        history_.push_back({revision_, kind, R"({"object":)" + json(name, o) + R"(,"tombstone":true})"});
        of_kind.erase(it);
        changed_.notify_all();
    }

    static std::string parameter(const std::string& query, const std::string& name) {
        std::istringstream in{query};
        std::string part;
        while (std::getline(in, part, '&')) {
            if (part.starts_with(name + '=')) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }

    void serve(const connection_ptr& c) {
        while (const auto m = c->read(steady::now() + 120s)) {
            if (!m->complete || !c->send(handle(*m))) {
                return;
            }
        }
    }

    std::string handle(const message& m) {
        const auto target = m.target();
        const auto query_at = std::min(target.find('?'), target.size());
        const auto query = target.substr(std::min(query_at + 1, target.size()));
        std::istringstream path{target.substr(0, query_at)};
        std::string skip;
        std::string kind;
        std::string name;
        std::getline(path, skip, '/');
        std::getline(path, skip, '/');
        std::getline(path, kind, '/');
        std::getline(path, name, '/');
        std::unique_lock lock{mutex_};
        if (down_) {
            return answer(503, "{}");
        }
        if (m.method() == "GET" && name.empty()) {
            const auto watch = parameter(query, "watch");
            return watch.empty() ? list(kind) : events(lock, kind, std::stoull(watch), parameter(query, "wait_ms"));
        }
        return change(m, kind, name);
    }

    static std::string answer(int status, const std::string& body) {
        return response(status, body, "Content-Type: application/json\r\nStore-Era: 1\r\n");
    }

    std::string list(const std::string& kind) {
        std::string items;
        for (const auto& [name, o] : objects_[kind]) {
            items += (items.empty() ? "" : ",") + json(name, o);
        }
        return answer(200, R"({"items":[)" + items + R"(],"has_more":false,"as_of":)" + std::to_string(revision_) +
                               "}");
    }

    std::string events(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t after,
                       const std::string& wait_ms) {
        const auto until = steady::now() + milliseconds{std::atoi(wait_ms.c_str())};
        std::string out;
        while (true) {
            for (const auto& e : history_) {
                if (e.kind == kind && e.revision > after) {
                    out += (out.empty() ? "" : ",") + e.json;
                }
            }
            if (!out.empty() || stopping_ || down_ ||
                changed_.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        if (down_) {
            return answer(503, "{}");
        }
        return answer(200, R"({"events":[)" + out + R"(],"as_of":)" + std::to_string(revision_) + "}");
    }

    std::string change(const message& m, const std::string& kind, const std::string& name_in_path) {
        const auto after = [&m](const std::string& key) {
            const auto at = m.body.find(key);
            return at == std::string::npos ? std::string{} : m.body.substr(at + key.size());
        };
        auto spec = after(R"("spec":)");
        if (!spec.empty()) {
            spec.pop_back();
        }
        const auto quoted = after(R"("name":")");
        const auto name = name_in_path.empty() ? quoted.substr(0, quoted.find('"')) : name_in_path;
        auto& of_kind = objects_[kind];
        const auto it = of_kind.find(name);
        if (m.method() == "POST") {
            if (it != of_kind.end()) {
                return answer(409, json(name, it->second));
            }
            store(kind, name, spec, false);
            return answer(200, json(name, of_kind[name]));
        }
        if (it == of_kind.end()) {
            return answer(404, "{}");
        }
        if (m.method() == "GET") {
            return answer(200, json(name, it->second));
        }
        const auto revision = after(R"("revision":)");
        if (!revision.empty() && std::strtoull(revision.c_str(), nullptr, 10) != it->second.revision) {
            return answer(409, json(name, it->second));
        }
        if (m.method() == "DELETE") {
            erase(kind, name);
            return answer(200, "{}");
        }
        store(kind, name, spec, true);
        return answer(200, json(name, it->second));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::deque<event> history_;
    std::uint64_t revision_ = 1;
    bool down_ = false;
    bool stopping_ = false;
    listener listener_;
};

/// The platform's interface for usage reports and orders: takes every call.
class cloud_api {
public:
    explicit cloud_api(const std::string& host)
        : listener_{host, [](const connection_ptr& c) {
                        while (const auto m = c->read(steady::now() + 120s)) {
                            if (!c->send(response(200, "{}", "Content-Type: application/json\r\n"))) {
                                return;
                            }
                        }
                    }} {}
    [[nodiscard]] std::string address() const { return listener_.address(); }

private:
    listener listener_;
};

// ---------------------------------------------------------------- servers

/// A server of a service. `handle` writes the answer to one request, which has arrived whole.
/// It returns false if the connection shall end.
class server {
public:
    using handler = std::function<bool(server&, const connection_ptr&, const message&)>;

    server(object_store& store, std::string id, std::string service, std::string zone, int slots, handler handle)
        : store_{store},
          id_{std::move(id)},
          service_{std::move(service)},
          zone_{std::move(zone)},
          slots_{slots},
          handle_{std::move(handle)},
          listener_{"127.0.0.1", [this](const connection_ptr& c) { serve(c); }} {}

    void tell(const std::string& state) {
        store_.put("servers", id_,
                   R"({"service":")" + service_ + R"(","address":")" + listener_.address() + R"(","zone":")" +
                       zone_ + R"(","version":"1","slots":)" + std::to_string(slots_) + R"(,"state":")" + state +
                       R"(","cold_remaining_ms":0,"sequence":1,"born":)" + std::to_string(born_) + "}");
    }
    [[nodiscard]] const std::string& id() const { return id_; }

    /// @return the head fields of each answer that a request has run for.
    [[nodiscard]] std::string run_fields(const message& m) const {
        return "X-Request-Id: " + m.field("X-Request-Id") + "\r\nX-Response-Stamp: stamp-" +
               m.field("X-Request-Id") + "-" + id_ + "\r\nX-Server-Load: 1,0," + std::to_string(slots_) + "\r\n";
    }

private:
    void serve(const connection_ptr& c) {
        while (auto m = c->read(steady::now() + 120s)) {
            if (!m->complete) {
                return;
            }
            if (m->field("X-Expect-Instance") != id_) {
                c->send(response(421, "", "X-Not-Executed: 1\r\nX-Request-Id: " + m->field("X-Request-Id") + "\r\n"));
                continue;
            }
            if (!handle_(*this, c, *m)) {
                return;
            }
        }
    }

    object_store& store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    handler handle_;
    long born_ = static_cast<long>(std::chrono::duration_cast<milliseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
    listener listener_;
};

// ---------------------------------------------------------------- daemons

struct daemon_settings {
    std::string vm;
    std::string zone;
    std::string host;  ///< loopback address of its own
    int memory_mib = 110;
    std::vector<std::string> seeds;
};

/// One daemon, started with the command of the deploy file, in the root of the repository.
class edge_daemon {
public:
    edge_daemon(daemon_settings s, const std::string& store, const std::string& cloud, const std::string& folder)
        : settings_{std::move(s)}, path_{folder + '/' + settings_.vm + ".ini"}, log_{folder + '/' + settings_.vm + ".log"} {
        callers_ = free_port(settings_.host);
        ready_ = free_port(settings_.host);
        control_ = free_port(settings_.host);
        peers_ = free_port(settings_.host);
        const auto& h = settings_.host;
        std::ofstream out{path_};
        out << "[daemon]\nvm = " << settings_.vm << "\nzone = " << settings_.zone << "\nlog_level = info\n\n[listen]\n"
            << "callers = " << h << ':' << callers_ << "\nreadiness = " << h << ':' << ready_ << "\noperators = " << h
            << ':' << control_ << "\npeers = " << h << ':' << peers_ << "\n\n[fleet]\nseeds = ";
        for (std::size_t i = 0; i < settings_.seeds.size(); ++i) {
            out << (i == 0 ? "" : ",") << settings_.seeds[i];
        }
        out << "\n\n[platform]\nstore = " << store << "\norders = " << cloud
            << "\n\n[limits]\nprocessor_share = 0.25\nlink_mbits = 1000.0\nmemory_mib = " << settings_.memory_mib
            << "\ndescriptors = 4100\n\n[times]\nstop_seconds = 8\ndrain_milliseconds = 2000\n"
            << "configuration_milliseconds = 2000\n\n[retries]\nratio = 0.2\nallowance = 52\nwindow_seconds = 10\n\n"
            << "[duties]\nlease_milliseconds = 3000\nusage_window_seconds = 5\nusage_due_seconds = 10\n"
            << "calls_per_second = 50\nheld = usage\n";
    }
    ~edge_daemon() { kill(); }
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;

    void start() {
        const auto root = std::filesystem::canonical("/proc/self/exe").parent_path().parent_path().parent_path();
        const auto program = root / "target/apps/daemon/chicorygapd";
        if (!std::filesystem::exists(program)) {
            throw cannot_run{program.string() + " is missing: run the build of deploy/system.toml"};
        }
        const auto settings = "CHICORYGAP_SETTINGS=" + path_;
        pid_ = fork();
        if (pid_ == 0) {
            const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (::chdir(root.c_str()) != 0) {
                _exit(127);
            }
            const char* const arguments[] = {"target/apps/daemon/chicorygapd", "edge", nullptr};
            const char* const environment[] = {settings.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", nullptr};
            ::execve(program.c_str(), const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
            _exit(127);
        }
    }
    void signal(int number) const {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    void kill() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }
    /// @return true while the process runs; reaps it after its end.
    bool running() {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = 0;
        }
        return pid_ > 0;
    }
    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] std::uint16_t callers() const { return callers_; }
    [[nodiscard]] std::string control() const { return settings_.host + ':' + std::to_string(control_); }
    [[nodiscard]] const daemon_settings& settings() const { return settings_; }

    [[nodiscard]] connection_ptr connect() const { return connect_to(settings_.host, callers_); }
    [[nodiscard]] bool is_ready() const {
        const auto c = connect_to(settings_.host, ready_);
        if (!c || !c->send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        const auto m = c->read(steady::now() + 500ms);
        return m && m->status() == 200;
    }
    void wait_until_ready() const {
        const auto until = steady::now() + 15s;
        while (!is_ready()) {
            if (steady::now() > until) {
                throw cannot_run{settings_.vm + " did not get ready"};
            }
            std::this_thread::sleep_for(50ms);
        }
    }

private:
    daemon_settings settings_;
    std::string path_;
    std::string log_;
    pid_t pid_ = 0;
    std::uint16_t callers_ = 0;
    std::uint16_t ready_ = 0;
    std::uint16_t control_ = 0;
    std::uint16_t peers_ = 0;
};

// ---------------------------------------------------------------- configuration

inline constexpr const char* host_name = "site.example";
inline constexpr const char* key = "xd9dnn2ctnfzs989anu6";
inline constexpr const char* tenant = "huka270";

/// @return a configuration with an assistant and an order service, in the form of the platform's pages.
inline std::string configuration(int order_timeout_ms = 2500) {
    const std::string t = std::to_string(order_timeout_ms);
    return std::string{} +
           R"({"version":7,"routes":[)"
           R"({"name":"order","host":"site.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":)" + t +
           R"(,"target_latency_ms":300,"priority":2,"service":"orders","max_attempts":1,"allow_anonymous":false},)"
           R"({"name":"read","host":"site.example","path_prefix":"/read/","kind":"safe","timeout_ms":)" + t +
           R"(,"target_latency_ms":300,"priority":2,"service":"orders","max_attempts":2,"allow_anonymous":false},)"
           R"({"name":"chat","host":"site.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,)"
           R"("target_latency_ms":300,"priority":0,"service":"assistant","max_attempts":2,"allow_anonymous":false,)"
           R"("sticky":true,"resumable":true,"target_gap_ms":250}],)"
           R"("services":[{"name":"orders","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false},)"
           R"({"name":"assistant","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,)"
           R"("engine":{"slots":64,"kv_capacity_tokens":229540,"kv_token_bytes":327680,"link_mbps":1100000.0,)"
           R"("stride":4}}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";
}

inline std::string request(const std::string& method, const std::string& path, const std::string& id,
                           const std::string& body, int deadline_ms) {
    return method + ' ' + path + " HTTP/1.1\r\nHost: " + host_name + "\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nX-Key: " + key +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline bool with_trouble() {
    const char* t = std::getenv("TROUBLE");
    return t == nullptr || std::string{t} != "0";
}

/// Folder for settings and logs, removed at the end.
class temporary_folder {
public:
    temporary_folder() {
        std::string name = (std::filesystem::temp_directory_path() / "chicorygap-review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            throw cannot_run{"no temporary folder"};
        }
        path_ = name;
    }
    ~temporary_folder() {
        std::error_code ec;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(path_, ec);
        }
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// Runs a case and turns its result into the exit code. All threads have ended before.
inline int run_case(const std::function<verdict(record&)>& run) {
    std::signal(SIGPIPE, SIG_IGN);
    record r{"record.txt"};
    try {
        const auto v = run(r);
        r.line("result: ", v == verdict::held ? "the rule held" : v == verdict::broken ? "the rule was BROKEN" : "not run");
        return static_cast<int>(v);
    } catch (const std::exception& e) {
        r.line("the case could not run: ", e.what());
        std::cerr << e.what() << '\n';
        return static_cast<int>(verdict::not_run);
    }
}

}  // namespace harness
