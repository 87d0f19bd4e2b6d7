#include "render.h"

#include "document/parser.h"
#include "document/section_reader.h"

#include <utility>

namespace chicorygap::document {

namespace {

// Keeps lists well below inih's limit of 198 bytes per line.
constexpr std::size_t list_line_limit = 120;

class section_writer {
public:
    explicit section_writer(std::string name) { section_.name = std::move(name); }

    section_writer& text(const std::string& key, const std::string& value) {
        section_.entries.push_back({key, value, 0});
        return *this;
    }
    section_writer& number(const std::string& key, std::uint64_t value) {
        return text(key, std::to_string(value));
    }
    section_writer& real(const std::string& key, double value) { return text(key, format_real(value)); }
    section_writer& flag(const std::string& key, bool value) { return text(key, value ? "yes" : "no"); }
    section_writer& time(const std::string& key, base::duration value) {
        return text(key, format_duration(value));
    }
    section_writer& list(const std::string& key, const std::vector<std::string>& items) {
        std::string line;
        for (const auto& it : items) {
            if (!line.empty() && line.size() + it.size() > list_line_limit) {
                text(key, line);
                line.clear();
            }
            line += (line.empty() ? "" : ", ") + it;
        }
        return line.empty() ? *this : text(key, line);
    }
    ini_section take() { return std::move(section_); }

private:
    ini_section section_;
};

ini_section service_section(const service_document& d) {
    return section_writer{"service"}
        .text("name", d.name.str())
        .text("kind", d.kind == service_kind::model ? "model" : "plain")
        .time("isolated_key_lifetime", d.isolated_key_lifetime)
        .time("once_retention", d.once_retention)
        .take();
}

ini_section retry_section(const retry_budget& b) {
    return section_writer{"retry"}.real("share", b.share).real("overload_share", b.overload_share).take();
}

ini_section timeouts_section(const timeouts& t) {
    return section_writer{"timeouts"}
        .time("connect", t.connect)
        .time("first_byte", t.first_byte)
        .time("token_gap", t.token_gap)
        .time("idle", t.idle)
        .take();
}

ini_section model_section(const model& m) {
    return section_writer{"model " + m.name}
        .number("context_tokens", m.context_tokens)
        .number("max_output_tokens", m.max_output_tokens)
        .take();
}

ini_section class_section(const service_class& c) {
    section_writer w{"class " + c.id.str()};
    w.number("tier", c.tier.level);
    if (c.inter_token_target) {
        w.time("first_token_target", c.first_token_target).time("inter_token_target", *c.inter_token_target);
    } else {
        w.time("response_target", c.first_token_target);
    }
    return w.real("attainment_target", c.attainment_target)
        .time("deadline", c.deadline)
        .number("queue_length", c.queue_length)
        .real("floor", c.floor)
        .time("floor_wait", c.floor_wait)
        .take();
}

ini_section workspace_section(const workspace& ws) {
    section_writer w{"workspace " + ws.id.str()};
    w.real("weight", ws.weight);
    for (const auto& k : ws.keys) {
        w.text("key", k.digest.str() + (k.expires ? " expires " + format_wall_time(*k.expires) : ""));
    }
    for (const auto& digest : ws.revoked_keys) {
        w.text("revoked_key", digest.str());
    }
    if (ws.limits.requests_per_second) {
        w.real("requests_per_second", *ws.limits.requests_per_second);
    }
    if (ws.limits.tokens_per_second) {
        w.real("tokens_per_second", *ws.limits.tokens_per_second);
    }
    if (ws.limits.concurrency) {
        w.number("concurrency", *ws.limits.concurrency);
    }
    return w.take();
}

ini_section route_section(const route& r) {
    section_writer w{"route " + r.name};
    w.text("path", r.path_prefix);
    if (!r.backend_path.empty()) {
        w.text("backend_path", r.backend_path);
    }
    std::vector<std::string> admitted;
    for (const auto& it : r.workspaces) {
        admitted.push_back(it.str());
    }
    return w.list("methods", r.methods)
        .text("class", r.class_id.str())
        .list("workspaces", r.open_to_all ? std::vector<std::string>{"all"} : admitted)
        .flag("repeatable", r.repeatable)
        .flag("idempotency_key_required", r.idempotency_key_required)
        .take();
}

ini_section server_kind_section(const server_kind& k) {
    section_writer w{"server_kind " + k.name};
    w.real("price", k.price).flag("reclaimable", k.reclaimable).number("slots", k.slots);
    for (const auto& z : k.zones) {
        w.text("zone", z.zone.str() + " " + std::to_string(z.minimum) + " " + std::to_string(z.maximum));
    }
    return w.take();
}

template <typename Items, typename Function>
void append(std::vector<ini_section>& out, const Items& items, Function to_section) {
    for (const auto& it : items) {
        out.push_back(to_section(it));
    }
}

}  // namespace

std::vector<ini_section> sections_of(const service_document& d) {
    std::vector<ini_section> out{service_section(d), retry_section(d.retry_budget),
                                 timeouts_section(d.timeouts)};
    append(out, d.models, model_section);
    append(out, d.classes, class_section);
    append(out, d.workspaces, workspace_section);
    append(out, d.routes, route_section);
    append(out, d.server_kinds, server_kind_section);
    return out;
}

std::string render(const service_document& d) {
    return write_ini(sections_of(d));
}

}  // namespace chicorygap::document
