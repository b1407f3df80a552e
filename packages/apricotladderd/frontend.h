#pragma once

#include "apricotladderd/callthreads.h"
#include "apricotladderd/nodecontext.h"
#include "apricotladderd/streambuffer.h"
#include "protocol/callerjson.h"
#include "state/shardedmap.h"
#include "transport/httpserver.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace Apricot {

/**
 * \class FrontEnd
 * \brief The HTTP interface for callers and operators.
 */
class FrontEnd
{
public:
    /// Callbacks into the node.
    struct Callbacks
    {
        std::function<std::string()> statusJson;
        std::function<void()> onDrainRequested; ///< runs when an operator requests the drain of this node
    };

    FrontEnd(NodeContext context, CallThreads &callThreads, Callbacks callbacks);

    /// Listens on the caller address; returns an error message, or an empty string on success.
    std::string start();

    /// Refuses new calls with the error Draining; callers may still resume answers that this node serves.
    void refuseCalls();

    /// Stops accepting connections and waits until all answers were sent; returns false after \a timeout.
    bool finishAnswers(absl::Duration timeout);
    void stop();

    /// Removes ended answers whose retention has expired.
    void removeExpiredAnswers(absl::Time now);

private:
    HttpResponse handle(const HttpRequest &request);
    HttpResponse handleAddress(const HttpRequest &request);
    HttpResponse handleCompletion(const HttpRequest &request);
    HttpResponse handleCancel(const std::string &id);
    HttpResponse handlePlainCall(const HttpRequest &request, const std::string &service);
    HttpResponse handleTimeline(const HttpRequest &request);
    HttpResponse handleReady();
    std::shared_ptr<StreamBuffer> startFlow(const CompletionRequest &request, std::optional<std::int64_t> offset);
    HttpResponse streamAnswer(const CompletionRequest &request, const std::shared_ptr<StreamBuffer> &buffer, std::int64_t offset);
    HttpResponse wholeAnswer(const CompletionRequest &request, const std::shared_ptr<StreamBuffer> &buffer);
    std::string newId();

    NodeContext m_context;
    CallThreads &m_callThreads;
    Callbacks m_callbacks;
    ShardedMap<RequestId, std::shared_ptr<StreamBuffer>> m_buffers;
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<bool> m_refusing{false};
    std::unique_ptr<HttpServer> m_server;
};

}
