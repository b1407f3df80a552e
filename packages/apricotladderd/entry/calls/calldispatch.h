#pragma once

#include "apricotladderd/entry/entryloop.h"
#include "transport/httplistener.h"

namespace Apricot {

/// Hooks for the listener of \a loop: each request of a caller is matched to its route and started as a call.
HttpListener::Hooks callListenerHooks(EntryLoop &loop);

}
