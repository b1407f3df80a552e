#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Apricot {

/// Parameters of one HTTP call.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    absl::Duration connectTimeout = absl::Milliseconds(500);
    absl::Duration timeout = absl::Seconds(5);
    absl::Duration idleTimeout = absl::InfiniteDuration(); ///< streamed calls: maximum time without any data
    std::size_t maxBodyBytes = 8U << 20; ///< longest body of a response that is not streamed; a longer one fails the call
    bool dedicatedConnection = false; ///< use a new connection and do not keep it, for calls that must not be sent twice
};

/// How far a call got.
enum class CallOutcome {
    Answered, ///< the whole response was received
    NotSent, ///< no connection was established, so nothing of the request was sent
    SentWithoutResponse, ///< the request was sent, or may have been, and the response is missing or was cut off
    IdleTimeout, ///< no data was received for the idle timeout
    StoppedByReceiver, ///< the receiver stopped the stream
};

/// Result of a call.
struct HttpReply
{
    CallOutcome outcome = CallOutcome::NotSent;
    int status = 0;
    std::string body; ///< empty for streamed calls
    std::string errorMessage; ///< reason in words if outcome is not CallOutcome::Answered
};

/// Receives a part of a streamed response; returns whether to continue. It is also called with an empty part at regular
/// intervals, so that it can stop a stream without data.
using StreamReceiver = std::function<bool(std::string_view part)>;

/**
 * \class HttpClient
 * \brief Blocking HTTP client. Each thread keeps its own connections.
 */
class HttpClient
{
public:
    /// Initializes the process for HTTP calls. Call it once before threads are started.
    static void initialize();

    /// Makes a call and waits for the whole response.
    static HttpReply call(const HttpCall &call);

    /// Makes a call and passes the response body to \a receiver as it arrives. Only the body of a response with status 200 is
    /// passed on; any other body is returned in the reply.
    static HttpReply stream(const HttpCall &call, const StreamReceiver &receiver);
};

}
