#include "caller/addresslookup.h"

#include "protocol/jsonreader.h"
#include "transport/httpclient.h"

#include <absl/time/clock.h>

#include <utility>

namespace Apricot {

AddressLookup::AddressLookup(std::vector<std::string> entryUrls)
    : m_entryUrls(std::move(entryUrls))
{
}

std::string AddressLookup::node(const std::string &service, int nodeIndex)
{
    CachedAddresses cached;
    {
        const MutexLock lock(m_mutex);
        cached = m_cache[service];
    }
    if (absl::Now() >= cached.expiry) {
        absl::Duration keep;
        cached.urls = queryNodes(service, &keep);
        cached.expiry = absl::Now() + keep;
        const MutexLock lock(m_mutex);
        m_cache[service] = cached;
    }
    const std::vector<std::string> &urls = cached.urls.empty() ? m_entryUrls : cached.urls;
    return urls[static_cast<std::size_t>(nodeIndex) % urls.size()];
}

void AddressLookup::invalidate(const std::string &service)
{
    const MutexLock lock(m_mutex);
    m_cache.erase(service);
}

std::vector<std::string> AddressLookup::queryNodes(const std::string &service, absl::Duration *keep) const
{
    *keep = absl::ZeroDuration();
    for (const std::string &entry : m_entryUrls) {
        HttpCall call;
        call.url = entry + "/v1/address?service=" + service;
        call.timeout = absl::Milliseconds(500);
        const HttpReply reply = HttpClient::call(call);
        const Json json = Json::parse(reply.body, nullptr, false);
        if (reply.outcome != CallOutcome::Answered || reply.status != 200 || json.is_discarded()) {
            continue;
        }
        *keep = absl::Milliseconds(jsonInteger(json, "keepMs"));
        std::vector<std::string> urls;
        for (const std::string &address : jsonTexts(json, "addresses")) {
            urls.push_back("http://" + address);
        }
        return urls;
    }
    return {};
}

}
