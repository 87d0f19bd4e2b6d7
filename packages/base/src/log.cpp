#include "base/log.h"

#include "base/error.h"

#include <easylogging++.h>

namespace chicorygap::base {

namespace {

std::string escaped(std::string_view value) {
    std::string out;
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return out;
}

/// Where lines go; empty for standard output.
log_sink& current_sink() {
    static log_sink sink;
    return sink;
}

/// Passes lines to the current sink. easylogging++ creates it by its type.
class sink_dispatch final : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) noexcept override {
        const auto& sink = current_sink();
        if (!sink) {
            return;
        }
        const bool normal = data->dispatchAction() == el::base::DispatchAction::NormalLog;
        sink(data->logMessage()->logger()->logBuilder()->build(data->logMessage(), normal));
    }
};

constexpr const char* sink_name = "chicorygap_sink";

void write_to_standard_output(bool value) {
    el::Loggers::reconfigureAllLoggers(el::ConfigurationType::ToStandardOutput, value ? "true" : "false");
}

}  // namespace

void set_log_sink(log_sink sink) {
    const bool own = static_cast<bool>(sink);
    current_sink() = std::move(sink);
    if (own) {
        el::Helpers::installLogDispatchCallback<sink_dispatch>(sink_name);
    } else {
        el::Helpers::uninstallLogDispatchCallback<sink_dispatch>(sink_name);
    }
    write_to_standard_output(!own);
}

void configure_log(log_level level) {
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, current_sink() ? "false" : "true");
    conf.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    conf.set(el::Level::Debug, el::ConfigurationType::Enabled, level <= log_level::debug ? "true" : "false");
    conf.set(el::Level::Info, el::ConfigurationType::Enabled, level <= log_level::info ? "true" : "false");
    conf.set(el::Level::Warning, el::ConfigurationType::Enabled,
             level <= log_level::warning ? "true" : "false");
    el::Loggers::reconfigureAllLoggers(conf);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
}

log_level parse_log_level(std::string_view name) {
    if (name == "debug") {
        return log_level::debug;
    }
    if (name == "info") {
        return log_level::info;
    }
    if (name == "warning") {
        return log_level::warning;
    }
    if (name == "error") {
        return log_level::error;
    }
    throw error{result_code::settings_invalid,
                "log level must be debug, info, warning or error, not '" + std::string{name} + "'"};
}

log_line::log_line(log_level level, std::string_view part, std::string_view sentence) : level_{level} {
    text_.append("[").append(part).append("] ").append(sentence);
}

log_line::~log_line() {
    switch (level_) {
        case log_level::debug:
            LOG(DEBUG) << text_;
            break;
        case log_level::info:
            LOG(INFO) << text_;
            break;
        case log_level::warning:
            LOG(WARNING) << text_;
            break;
        case log_level::error:
            LOG(ERROR) << text_;
            break;
    }
}

log_line& log_line::field(std::string_view name, std::string_view value) {
    const bool plain = value.find_first_of(" \"\\=\n\r") == std::string_view::npos && !value.empty();
    text_.append(" ").append(name).append("=");
    text_.append(plain ? std::string{value} : '"' + escaped(value) + '"');
    return *this;
}

log_line& log_line::field(std::string_view name, long long value) {
    return field(name, std::to_string(value));
}

log_line& log_line::code(result_code c) {
    return field("code", static_cast<long long>(c));
}

}  // namespace chicorygap::base
