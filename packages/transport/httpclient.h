#pragma once

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Apricot {

/// One call to make.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    absl::Duration connectLimit = absl::Milliseconds(500);
    absl::Duration limit = absl::Seconds(5);
    absl::Duration silenceLimit = absl::InfiniteDuration(); ///< streamed calls: longest time without a byte
    bool ownConnection = false; ///< never reuse or repeat: for calls that must not be sent twice
};

/// How far a call came.
enum class CallEnd {
    Answered, ///< the whole answer is here
    NotSent, ///< no connection was made, so not a byte of the call left
    SentNoAnswer, ///< it was sent, or may have been, and the answer is missing or broke off
    Silent, ///< the connection gave no byte for the silence limit
    Stopped, ///< the receiver of the stream wanted no more
};

/// What came of a call.
struct HttpReply
{
    CallEnd end = CallEnd::NotSent;
    int status = 0;
    std::string body; ///< empty for streamed calls
    std::string problem; ///< in words, if it was not answered
};

/// Takes a part of a streamed answer; returns whether it wants more. Called with an empty part while nothing comes.
using StreamReceiver = std::function<bool(std::string_view part)>;

/**
 * \class HttpClient
 * \brief Makes HTTP calls; connections are kept per thread.
 */
class HttpClient
{
public:
    /// Prepares the library; call once before threads start.
    static void initialize();

    /// Makes a call and waits for the whole answer.
    static HttpReply call(const HttpCall &call);

    /// Makes a call and hands the answer on as it comes. Only parts of an answer with status 200 are handed on.
    static HttpReply stream(const HttpCall &call, const StreamReceiver &receiver);
};

}
