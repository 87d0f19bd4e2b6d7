/// @file
/// Execution of store actions.
#pragma once

#include "base/store_message.h"
#include "base/time.h"
#include "ports/object_store.h"

namespace chicorygap::control {

/// Executes the store actions of decision code against the Object API.
///
/// Usage: `machine.handle(executor.run(action), now)`.
class store_executor {
public:
    /// @param store has to outlive the executor.
    /// @param timeout longest duration of one call.
    store_executor(ports::object_store& store, base::duration timeout) : store_{store}, timeout_{timeout} {}

    /// @return the reply; `refused` if the call had no effect, `lost` if that is not known.
    base::store_reply run(const base::store_put& a);
    base::store_reply run(const base::store_get& a);
    base::store_reply run(const base::store_list& a);

private:
    ports::object_store& store_;
    base::duration timeout_;
};

}  // namespace chicorygap::control
