/// @file
/// State shared by the handlers of one stand-in.
#pragma once

#include "engine.h"
#include "journal.h"

namespace chicorygap::standin_backend {

struct state {
    explicit state(options o) : settings{std::move(o)}, batch{settings} {}

    options settings;
    engine batch;
    journal log;
};

}  // namespace chicorygap::standin_backend
