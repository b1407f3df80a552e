#include "protocol/peermessage.h"

#include "protocol/messagecodec.h"

namespace Apricot {

std::string encodePeerMessage(const PeerMessage &message)
{
    return encodeMessage(message);
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return decodeMessage<PeerMessage>(bytes, "peer message");
}

std::string encodePeerQuery(const PeerQuery &query)
{
    return encodeMessage(query);
}

Result<PeerQuery> decodePeerQuery(std::string_view bytes)
{
    return decodeMessage<PeerQuery>(bytes, "peer message");
}

std::string encodePeerReply(const PeerReply &reply)
{
    return encodeMessage(reply);
}

Result<PeerReply> decodePeerReply(std::string_view bytes)
{
    return decodeMessage<PeerReply>(bytes, "peer message");
}

}
