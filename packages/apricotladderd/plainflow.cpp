#include "apricotladderd/plainflow.h"

#include "state/invariant.h"
#include "transport/httpclient.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration connectTimeout = absl::Milliseconds(300);
constexpr absl::Duration creatorQueryTimeout = absl::Milliseconds(500);

/// Delay before a record is read again while another attempt is in progress.
constexpr absl::Duration inProgressRetryDelay = absl::Milliseconds(50);

/// Maximum number of attempts of an idempotent call, including the first.
constexpr int maxAttempts = 3;

bool contains(const std::vector<std::string> &list, const std::string &text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

}

PlainFlow::PlainFlow(NodeContext context, PlainCall call, Service service, std::uint64_t sequence)
    : m_context(context)
    , m_call(std::move(call))
    , m_service(std::move(service))
    , m_sequence(sequence)
    , m_attemptId(
          absl::StrCat(m_call->id.text(), "/", m_context.settings->node.text(), "/", absl::ToUnixMicros(absl::Now()), "/", sequence))
{
}

std::variant<PlainResponse, Error> PlainFlow::run()
{
    m_context.journal.record(m_call->id, "call.started", absl::StrCat(m_call->service.text(), " ", m_call->operation));
    const bool once = contains(m_service->nonIdempotent, m_call->operation);
    std::variant<PlainResponse, Error> result = once ? runNonIdempotent() : runIdempotent();
    const auto *error = std::get_if<Error>(&result);
    m_context.metrics.countRequest(m_call->service.text(),
                                   error == nullptr ? "Answered" : std::string(outcomeName(errorDescriptor(error->kind).outcome)));
    m_context.journal.record(m_call->id, "call.ended", error == nullptr ? "answered" : std::string(errorDescriptor(error->kind).name));
    return result;
}

std::variant<PlainResponse, Error> PlainFlow::runIdempotent()
{
    const bool isRetryable = contains(m_service->retryable, m_call->operation);
    const std::vector<Endpoint> endpoints = candidates();
    Error error{ErrorKind::EngineUnreachable, "no endpoint of the service is reachable"};
    for (int i = 0; i < maxAttempts && !endpoints.empty(); ++i) {
        if (i > 0 && !m_context.retries.trySpend(absl::Now())) {
            break;
        }
        const Endpoint &endpoint = endpoints[(m_sequence + static_cast<std::uint64_t>(i)) % endpoints.size()];
        const HttpReply reply = callEndpoint(endpoint);
        if (reply.outcome == CallOutcome::Answered) {
            m_context.retries.recordSuccess(EngineId(endpoint->name));
            return PlainResponse{reply.status, reply.body};
        }
        m_context.retries.recordConnectFailure(EngineId(endpoint->name), absl::Now());
        if (reply.outcome != CallOutcome::NotSent) {
            error = Error{ErrorKind::OutcomeUnknown, absl::StrCat("endpoint ", endpoint->name, ": ", reply.errorMessage)};
            if (!isRetryable) {
                break;
            }
        }
    }
    return error;
}

std::variant<PlainResponse, Error> PlainFlow::runNonIdempotent()
{
    const absl::Time deadline = absl::Now() + absl::Milliseconds(m_context.settings->runTimeoutMs);
    m_context.runStore.recordAttempt(m_attemptId, AttemptStatus::InProgress, absl::Now());
    RunAttemptStep step = startRunAttempt(m_call->key, m_attemptId, m_context.settings->node, absl::Now());
    std::variant<PlainResponse, Error> result = Error{ErrorKind::Internal, "the run record state machine ended without an answer"};
    std::deque<RunAttemptAction> actions(step.actions.begin(), step.actions.end());
    while (!actions.empty()) {
        const RunAttemptAction action = actions.front();
        actions.pop_front();
        const std::optional<RunAttemptEvent> event = execute(action, deadline, &result);
        if (event) {
            step = stepRunAttempt(step.attempt, *event, absl::Now());
            actions.insert(actions.end(), step.actions.begin(), step.actions.end());
        }
    }
    if (m_dispatches == 0) {
        m_context.runStore.recordAttempt(m_attemptId, AttemptStatus::NeverDispatched, absl::Now());
    }
    return result;
}

std::optional<RunAttemptEvent> PlainFlow::execute(const RunAttemptAction &action, absl::Time deadline,
                                                  std::variant<PlainResponse, Error> *result)
{
    return std::visit(Overloaded{
                          [&](const ReadRecord &) { return std::optional(readRecord(deadline)); },
                          [&](const WriteRecord &it) { return std::optional(writeRecord(it, deadline)); },
                          [&](const FinalizeRecord &it) {
                              m_context.runStore.writeInBackground(it.createExpected, it.next);
                              return std::optional<RunAttemptEvent>();
                          },
                          [&](const AskCreator &it) { return std::optional(queryCreator(it)); },
                          [&](const DispatchCall &) { return std::optional(dispatch()); },
                          [&](const AnswerRecorded &it) {
                              *result = PlainResponse{it.status, it.body};
                              return std::optional<RunAttemptEvent>();
                          },
                          [&](const AnswerError &it) {
                              *result = Error{it.kind, {}};
                              return std::optional<RunAttemptEvent>();
                          },
                      },
                      action);
}

RunAttemptEvent PlainFlow::readRecord(absl::Time deadline)
{
    if (m_creatorQueried) {
        absl::SleepFor(inProgressRetryDelay);
    }
    auto read = m_context.runStore.read(m_call->key, deadline);
    if (auto *record = std::get_if<std::optional<RunRecord>>(&read); record != nullptr && absl::Now() < deadline) {
        return RecordRead{std::move(*record)};
    }
    return StoreTimedOut{};
}

RunAttemptEvent PlainFlow::writeRecord(const WriteRecord &write, absl::Time deadline)
{
    const auto outcome = m_context.runStore.change(write.expected, write.next, deadline);
    const auto *known = std::get_if<ChangeOutcome>(&outcome);
    if (known == nullptr) {
        return StoreTimedOut{};
    }
    switch (*known) {
    case ChangeOutcome::Written:
        return RecordWritten{};
    case ChangeOutcome::Conflict:
        return RecordConflict{};
    case ChangeOutcome::Lost:
        break;
    }
    return RecordWriteLost{};
}

RunAttemptEvent PlainFlow::queryCreator(const AskCreator &query)
{
    m_creatorQueried = true;
    if (query.node == m_context.settings->node) {
        return CreatorAnswered{m_context.runStore.attemptStatus(query.creator)};
    }
    const std::optional<Member> member = m_context.cell.find(query.node);
    if (!member) {
        return CreatorAnswered{AttemptStatus::Unknown};
    }
    const auto reply
        = toVariant<PeerReply>([&] { return m_context.cell.query(*member, AttemptStatusQuery{query.creator}, creatorQueryTimeout); });
    const auto *answered = std::get_if<PeerReply>(&reply);
    const auto *creatorReply = answered == nullptr ? nullptr : std::get_if<AttemptStatusReply>(answered);
    return CreatorAnswered{creatorReply == nullptr ? AttemptStatus::Unknown : creatorReply->status};
}

RunAttemptEvent PlainFlow::dispatch()
{
    ++m_dispatches;
    APRICOT_INVARIANT(m_dispatches == 1, "one-dispatch-per-tap", m_attemptId.text());
    for (const Endpoint &endpoint : candidates()) {
        m_context.journal.record(m_call->id, "call.dispatched", endpoint->name);
        const HttpReply reply = callEndpoint(endpoint);
        if (reply.outcome == CallOutcome::Answered) {
            return CallAnswered{reply.status, reply.body};
        }
        if (reply.outcome != CallOutcome::NotSent) {
            return CallLost{};
        }
    }
    return CallNotSent{};
}

std::vector<Endpoint> PlainFlow::candidates() const
{
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    std::vector<EngineId> pool;
    for (const Endpoint &endpoint : endpointsOf(*config, m_call->service, PoolRole::Plain)) {
        if (!endpoint->drain && !m_context.cell.isLeavingVm(endpoint->name)) {
            pool.emplace_back(endpoint->name);
        }
    }
    std::vector<Endpoint> endpoints;
    for (const EngineId &id : m_context.retries.usable(pool, absl::Now())) {
        endpoints.push_back((*config)->endpoints.at(id.text()));
    }
    if (!endpoints.empty()) {
        std::rotate(endpoints.begin(), endpoints.begin() + static_cast<std::ptrdiff_t>(m_sequence % endpoints.size()), endpoints.end());
    }
    return endpoints;
}

HttpReply PlainFlow::callEndpoint(const Endpoint &endpoint) const
{
    HttpCall call;
    call.method = "POST";
    call.url = absl::StrCat("http://", endpoint->address, "/v1/operations/", m_call->operation);
    call.body = m_call->body;
    call.headers["X-Request-Id"] = m_call->id.text();
    if (!m_call->key.isEmpty()) {
        call.headers["Idempotency-Key"] = m_call->key.text();
    }
    call.connectTimeout = connectTimeout;
    call.timeout = callTimeout();
    call.dedicatedConnection = contains(m_service->nonIdempotent, m_call->operation);
    return HttpClient::call(call);
}

absl::Duration PlainFlow::callTimeout() const
{
    return absl::Milliseconds(m_service->callTimeoutMs);
}

}
