#include "table.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace chicorygap::tool {

namespace {

using Poco::Dynamic::Var;
using object = Poco::JSON::Object::Ptr;
using array = Poco::JSON::Array::Ptr;

bool is_object(const Var& v) {
    return !v.isEmpty() && v.type() == typeid(object);
}

bool is_array(const Var& v) {
    return !v.isEmpty() && v.type() == typeid(array);
}

bool is_object_array(const Var& v) {
    if (!is_array(v)) {
        return false;
    }
    const auto& a = *v.extract<array>();
    return a.size() > 0 && std::all_of(a.begin(), a.end(), is_object);
}

std::string to_text(const Var& v) {
    if (v.isEmpty()) {
        return "-";
    }
    return is_object(v) || is_array(v) ? Var::toString(v) : v.convert<std::string>();
}

struct cell {
    std::string text;
    bool is_numeric = false;
};

struct column {
    std::string name;
    std::size_t width = 0;
};

/// Table of text, built from an array of objects. The columns are the members of all objects in the order of
/// their first occurrence.
class table {
public:
    explicit table(const Poco::JSON::Array& rows) {
        for (const auto& row : rows) {
            for (const auto& name : row.extract<object>()->getNames()) {
                add_column(name);
            }
        }
        for (const auto& row : rows) {
            add_row(*row.extract<object>());
        }
    }

    void print(std::ostream& out) const {
        std::vector<cell> header;
        header.reserve(columns_.size());
        for (const auto& c : columns_) {
            header.push_back({c.name, false});
        }
        print_row(header, out);
        for (const auto& r : rows_) {
            print_row(r, out);
        }
    }

private:
    void add_column(const std::string& name) {
        const bool known =
            std::any_of(columns_.begin(), columns_.end(), [&](const column& c) { return c.name == name; });
        if (!known) {
            columns_.push_back({name, name.size()});
        }
    }

    void add_row(const Poco::JSON::Object& row) {
        std::vector<cell> cells;
        for (auto& c : columns_) {
            const auto v = row.get(c.name);
            cells.push_back({to_text(v), !v.isEmpty() && v.isNumeric() && !v.isBoolean()});
            c.width = std::max(c.width, cells.back().text.size());
        }
        rows_.push_back(std::move(cells));
    }

    void print_row(const std::vector<cell>& cells, std::ostream& out) const {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            const std::string padding(columns_[i].width - cells[i].text.size(), ' ');
            line += i == 0 ? "" : "  ";
            line += cells[i].is_numeric ? padding + cells[i].text : cells[i].text + padding;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }

    std::vector<column> columns_;
    std::vector<std::vector<cell>> rows_;
};

void print_indented(const Var& v, std::size_t depth, std::ostream& out);

void print_member(const std::string& name, const Var& v, std::size_t depth, std::ostream& out) {
    out << std::string(depth * 2, ' ') << name << ":";
    if (is_object(v) || is_array(v)) {
        out << '\n';
        print_indented(v, depth + 1, out);
    } else {
        out << ' ' << to_text(v) << '\n';
    }
}

void print_indented(const Var& v, std::size_t depth, std::ostream& out) {
    if (is_object(v)) {
        const auto& o = *v.extract<object>();
        for (const auto& name : o.getNames()) {
            print_member(name, o.get(name), depth, out);
        }
    } else if (is_array(v)) {
        const auto& a = *v.extract<array>();
        for (std::size_t i = 0; i < a.size(); ++i) {
            print_member(std::to_string(i + 1), a.get(static_cast<unsigned>(i)), depth, out);
        }
    } else {
        out << std::string(depth * 2, ' ') << to_text(v) << '\n';
    }
}

}  // namespace

void print_table(const Var& v, std::ostream& out) {
    if (is_object_array(v)) {
        table{*v.extract<array>()}.print(out);
        return;
    }
    if (!is_object(v)) {
        print_lines(v, out);
        return;
    }
    const auto& o = *v.extract<object>();
    Var rows;
    for (const auto& name : o.getNames()) {
        const auto member = o.get(name);
        if (rows.isEmpty() && is_object_array(member)) {
            rows = member;
        } else {
            print_member(name, member, 0, out);
        }
    }
    if (!rows.isEmpty()) {
        table{*rows.extract<array>()}.print(out);
    }
}

void print_lines(const Var& v, std::ostream& out) {
    print_indented(v, 0, out);
}

}  // namespace chicorygap::tool
