#include "measure.h"

#include <cstdio>
#include <ctime>
#include <exception>
#include <fstream>
#include <limits>
#include <malloc.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace chicorygap::control_benchmark {

namespace {

std::string to_text(const figures& list) {
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::max_digits10);
    for (const auto& f : list) {
        out << f.name << '\t' << f.unit << '\t' << f.value << '\n';
    }
    return out.str();
}

figures from_text(const std::string& text) {
    figures out;
    std::istringstream in{text};
    figure f;
    while (std::getline(in, f.name, '\t') && std::getline(in, f.unit, '\t') && in >> f.value) {
        in.ignore();
        out.push_back(f);
    }
    return out;
}

[[noreturn]] void run_child(const std::function<figures()>& measure, int fd) {
    int code = 1;
    try {
        const auto text = to_text(measure());
        const auto n = write(fd, text.data(), text.size());
        code = n == static_cast<ssize_t>(text.size()) ? 0 : 1;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "control_benchmark: %s\n", e.what());
    }
    _exit(code);
}

std::string read_all(int fd) {
    std::string out;
    char buf[4096];
    for (ssize_t n = 0; (n = read(fd, buf, sizeof buf)) > 0;) {
        out.append(buf, static_cast<std::size_t>(n));
    }
    return out;
}

}  // namespace

double processor_seconds() {
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

double resident_bytes() {
    malloc_trim(0);
    std::ifstream in{"/proc/self/status"};
    const std::string field = "RssAnon:";
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(field)) {
            return std::stod(line.substr(field.size())) * 1024;
        }
    }
    throw std::runtime_error{"/proc/self/status has no RssAnon"};
}

figures run_isolated(const std::function<figures()>& measure) {
    int fds[2];
    if (pipe(fds) != 0) {
        throw std::runtime_error{"pipe failed"};
    }
    const auto pid = fork();
    if (pid < 0) {
        throw std::runtime_error{"fork failed"};
    }
    if (pid == 0) {
        close(fds[0]);
        run_child(measure, fds[1]);
    }
    close(fds[1]);
    const auto text = read_all(fds[0]);
    close(fds[0]);
    int status = 0;
    waitpid(pid, &status, 0);
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        throw std::runtime_error{"measurement failed"};
    }
    return from_text(text);
}

}  // namespace chicorygap::control_benchmark
