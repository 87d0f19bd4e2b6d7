/// @file
/// Structured log lines with a fixed prefix per part.
#pragma once

#include "base/result_code.h"

#include <functional>
#include <string>
#include <string_view>

namespace chicorygap::base {

enum class log_level { debug, info, warning, error };

/// Sets up logging to standard error. Lines below `level` are dropped.
/// @param level lowest level written.
void configure_log(log_level level);

/// Receives whole lines of the log, with their newline. Must not log itself.
using log_sink = std::function<void(std::string_view line)>;

/// Sends lines to `sink` instead of standard output. Call it after `configure_log`, before other threads log.
/// @param sink receiver; empty goes back to standard output.
void set_log_sink(log_sink sink);

/// @param name one of "debug", "info", "warning", "error".
/// @return the level.
/// @throws error with `settings_invalid` for another name.
log_level parse_log_level(std::string_view name);

/// Builds and writes one log line: prefix, short sentence, then key=value fields.
///
/// Usage: `log_line{log_level::info, "routing", "Server ejected."}.field("server", id).code(c);`
/// The line is written by the destructor. Fields must hold no key and no prompt text.
class log_line {
public:
    /// @param level severity.
    /// @param part fixed prefix of the part, for example "admission".
    /// @param sentence short sentence.
    log_line(log_level level, std::string_view part, std::string_view sentence);
    ~log_line();

    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;
    log_line(log_line&&) = delete;
    log_line& operator=(log_line&&) = delete;

    /// Appends `name=value`; values with spaces or quotes are quoted.
    log_line& field(std::string_view name, std::string_view value);
    log_line& field(std::string_view name, long long value);

    /// Appends `code=<number>`.
    log_line& code(result_code c);

private:
    log_level level_;
    std::string text_;
};

}  // namespace chicorygap::base
