#include "state/errorkind.h"

#include <array>
#include <cstddef>

namespace Apricot {

namespace {

constexpr std::array<ErrorDescriptor, errorKindCount> errorTable{{
    {ErrorKind::BadRequest, "BadRequest", 400, false, Outcome::NotRun, "The request is malformed; see the message."},
    {ErrorKind::BodyTooLarge, "BodyTooLarge", 413, false, Outcome::NotRun, "The body exceeds the size limit."},
    {ErrorKind::KeyRejected, "KeyRejected", 401, false, Outcome::NotRun, "The request has no valid API key."},
    {ErrorKind::UnknownService, "UnknownService", 404, false, Outcome::NotRun, "No service of this name is configured."},
    {ErrorKind::UnknownOperation, "UnknownOperation", 404, false, Outcome::NotRun, "The service has no operation of this name."},
    {ErrorKind::RangeNotAvailable, "RangeNotAvailable", 416, false, Outcome::MayHaveRun,
     "No stream of this request is held at that offset."},
    {ErrorKind::DuplicateInProgress, "DuplicateInProgress", 409, true, Outcome::MayHaveRun, "A call with this key is still in progress."},
    {ErrorKind::Superseded, "Superseded", 409, false, Outcome::MayHaveRun, "A later attempt superseded this one."},
    {ErrorKind::TargetUnreachable, "TargetUnreachable", 429, true, Outcome::NotRun, "The first token cannot meet its latency target."},
    {ErrorKind::RateLimited, "RateLimited", 429, true, Outcome::NotRun, "The rank exceeds its share of capacity; wait and retry."},
    {ErrorKind::AllowanceExceeded, "AllowanceExceeded", 429, true, Outcome::NotRun, "The workspace exceeds its allowance; wait and retry."},
    {ErrorKind::NoCapacity, "NoCapacity", 503, true, Outcome::NotRun, "No engine has capacity for the request."},
    {ErrorKind::PromptQuarantined, "PromptQuarantined", 503, true, Outcome::NotRun, "A part of the prompt crashes engines; try it later."},
    {ErrorKind::NotConfigured, "NotConfigured", 503, true, Outcome::NotRun, "This node has not received a configuration yet."},
    {ErrorKind::Draining, "Draining", 503, true, Outcome::NotRun, "This node is draining; use another address."},
    {ErrorKind::StoreUnavailable, "StoreUnavailable", 503, true, Outcome::NotRun, "The platform's store did not answer in time."},
    {ErrorKind::StoreConflict, "StoreConflict", 409, true, Outcome::NotRun, "The object changed in the meantime; read it again."},
    {ErrorKind::EngineUnreachable, "EngineUnreachable", 503, true, Outcome::NotRun, "The endpoint could not be reached."},
    {ErrorKind::PeerUnreachable, "PeerUnreachable", 503, true, Outcome::NotRun, "The owner of the slice did not answer."},
    {ErrorKind::OutcomeUnknown, "OutcomeUnknown", 504, false, Outcome::MayHaveRun, "The call was sent but no response was received."},
    {ErrorKind::AnswerIncomplete, "AnswerIncomplete", 502, true, Outcome::MayHaveRun,
     "The stream was interrupted; resume it with Last-Event-ID."},
    {ErrorKind::Cancelled, "Cancelled", 499, false, Outcome::MayHaveRun, "The caller cancelled the request."},
    {ErrorKind::Internal, "Internal", 500, false, Outcome::MayHaveRun, "An internal check of the node failed."},
}};

constexpr bool tableIsInOrder()
{
    for (std::size_t i = 0; i < errorTable.size(); ++i) {
        if (static_cast<std::size_t>(errorTable[i].kind) != i) {
            return false;
        }
    }
    return true;
}

static_assert(tableIsInOrder(), "errorTable lists the kinds in the order of the enumeration");

}

const ErrorDescriptor &errorDescriptor(ErrorKind kind)
{
    return errorTable[static_cast<std::size_t>(kind)];
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "NotRun";
    case Outcome::MayHaveRun:
        return "MayHaveRun";
    case Outcome::Ran:
        return "Ran";
    }
    return "MayHaveRun";
}

}
