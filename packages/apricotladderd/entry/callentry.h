#pragma once

#include "apricotladderd/entry/entryloop.h"
#include "transport/httplistener.h"

namespace Apricot {

/// How the connections of callers to \a loop are served: each request finds its route and becomes a call.
HttpListener::Hooks callEntryHooks(EntryLoop &loop);

}
