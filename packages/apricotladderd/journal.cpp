#include "apricotladderd/journal.h"

#include <absl/time/clock.h>

#include <glog/logging.h>
#include <utility>

namespace Apricot {

namespace {

std::string formatLine(const NodeId &node, const RequestId &request, const std::string &what, const std::string &detail)
{
    return "node=" + node.text() + " request=" + (request.isEmpty() ? "-" : request.text()) + " event=" + what + " " + detail;
}

}

Journal::Journal(NodeId node, std::size_t ringEvents)
    : m_node(std::move(node))
    , m_ring(ringEvents)
{
}

void Journal::record(const RequestId &request, const std::string &what, const std::string &detail)
{
    m_ring.add(TimelineEvent{m_clock.next(absl::Now()), m_node.text(), request.text(), what, detail});
}

void Journal::info(const RequestId &request, const std::string &what, const std::string &detail)
{
    record(request, what, detail);
    LOG(INFO) << formatLine(m_node, request, what, detail);
}

void Journal::warning(const RequestId &request, const std::string &what, const std::string &detail)
{
    record(request, what, detail);
    LOG(WARNING) << formatLine(m_node, request, what, detail);
}

HybridTimestamp Journal::nextTimestamp()
{
    return m_clock.next(absl::Now());
}

void Journal::observe(HybridTimestamp timestamp)
{
    m_clock.observe(timestamp);
}

}
