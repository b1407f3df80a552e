#include "standins/objectapistandin.h"

#include "standins/jsonanswer.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace Apricot {

namespace {

constexpr absl::Duration hangDuration = absl::Seconds(5);
const std::string objectsPath = "/objects/";

HttpResponse errorResponse(int status, const std::string &text)
{
    return jsonAnswer(status, Json{{"error", text}});
}

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

Json objectJson(const StoredObject &object)
{
    Json json{
        {"kind", object.kind}, {"name", object.name}, {"version", object.version}, {"spec", Json::parse(object.spec, nullptr, false)}};
    if (!object.status.empty()) {
        json["status"] = Json::parse(object.status, nullptr, false);
    }
    return json;
}

}

HttpResponse ObjectApiStandIn::handle(const HttpRequest &request)
{
    if (request.path == "/control") {
        return control(request);
    }
    if (request.path == "/stats") {
        return stats();
    }
    const bool isWrite = request.method != "GET";
    Faults faults;
    {
        const MutexLock lock(m_mutex);
        ++m_counts[isWrite ? "writes" : request.path == "/watch" ? "watches" : "reads"];
        faults = m_faults;
        if (!trySpendToken(isWrite ? &m_writes : &m_reads, isWrite ? writesPerSecond : readsPerSecond)) {
            ++m_counts["overRate"];
            return errorResponse(429, "too many calls; retry later");
        }
    }
    if (faults.slowMs > 0) {
        absl::SleepFor(absl::Milliseconds(faults.slowMs));
    }
    if (faults.hang) {
        absl::SleepFor(hangDuration);
        return HttpResponse{0, {}, {}, {}, {}};
    }
    if (faults.outage) {
        return errorResponse(503, "outage");
    }
    if (request.path == "/objects") {
        return list(request.parameter("kinds"));
    }
    if (request.path == "/watch") {
        return watch(request);
    }
    if (!absl::StartsWith(request.path, objectsPath)) {
        return errorResponse(404, "unknown path");
    }
    const std::vector<std::string> parts = absl::StrSplit(request.path.substr(objectsPath.size()), '/');
    if (parts.size() == 3 && parts[2] == "status" && request.method == "PUT") {
        return putStatus(request, {parts[0], parts[1]});
    }
    if (parts.size() != 2) {
        return errorResponse(404, "unknown path");
    }
    const Key key{parts[0], parts[1]};
    if (request.method == "GET") {
        return get(key);
    }
    return request.method == "PUT" ? put(request, key) : remove(request, key);
}

HttpResponse ObjectApiStandIn::get(const Key &key)
{
    const MutexLock lock(m_mutex);
    const auto it = m_objects.find(key);
    if (it == m_objects.end() || it->second.removed) {
        return errorResponse(404, "unknown object");
    }
    return jsonAnswer(200, objectJson(it->second.object));
}

HttpResponse ObjectApiStandIn::list(const std::string &kinds)
{
    const MutexLock lock(m_mutex);
    bool hasChanges = false;
    HttpResponse response = jsonAnswer(200, Json::object());
    response.body = listBody(kinds, 0, &hasChanges);
    return response;
}

HttpResponse ObjectApiStandIn::watch(const HttpRequest &request)
{
    const std::uint64_t after = parseNumber(request.parameter("after"));
    const absl::Time deadline = absl::Now() + absl::Milliseconds(parseNumber(request.parameter("waitMs")));
    const MutexLock lock(m_mutex);
    bool hasChanges = false;
    HttpResponse response = jsonAnswer(200, Json::object());
    response.body = listBody(request.parameter("kinds"), after, &hasChanges);
    while (!hasChanges && absl::Now() < deadline) {
        m_changed.waitFor(m_mutex, deadline - absl::Now());
        response.body = listBody(request.parameter("kinds"), after, &hasChanges);
    }
    return response;
}

HttpResponse ObjectApiStandIn::put(const HttpRequest &request, const Key &key)
{
    const Json spec = Json::parse(request.body, nullptr, false);
    if (spec.is_discarded() || !spec.is_object() || request.body.size() > 1024 * 1024) {
        return errorResponse(400, "the spec is not a JSON object or is larger than 1 MiB");
    }
    const MutexLock lock(m_mutex);
    Stored &stored = m_objects[key];
    const std::uint64_t current = stored.removed ? 0 : stored.object.version;
    if (current != parseNumber(request.parameter("ifVersion"))) {
        ++m_counts["conflicts"];
        return errorResponse(409, absl::StrCat("ifVersion does not match the current version ", current));
    }
    const std::string status = stored.object.status;
    stored.object = StoredObject{key.first, key.second, ++m_version, jsonDump(spec), status};
    stored.changedAt = m_version;
    stored.removed = false;
    m_changed.signalAll();
    return respondToWrite(m_version);
}

HttpResponse ObjectApiStandIn::putStatus(const HttpRequest &request, const Key &key)
{
    const MutexLock lock(m_mutex);
    const auto it = m_objects.find(key);
    if (it == m_objects.end() || it->second.removed) {
        return errorResponse(404, "unknown object");
    }
    it->second.object.status = request.body;
    return respondToWrite(it->second.object.version);
}

HttpResponse ObjectApiStandIn::remove(const HttpRequest &request, const Key &key)
{
    const MutexLock lock(m_mutex);
    const auto it = m_objects.find(key);
    if (it == m_objects.end() || it->second.removed || it->second.object.version != parseNumber(request.parameter("ifVersion"))) {
        return errorResponse(409, "unknown object, or ifVersion does not match its version");
    }
    it->second.removed = true;
    it->second.changedAt = ++m_version;
    m_changed.signalAll();
    return respondToWrite(m_version);
}

HttpResponse ObjectApiStandIn::control(const HttpRequest &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (json.is_discarded()) {
        return errorResponse(400, "the body is not valid JSON");
    }
    const MutexLock lock(m_mutex);
    m_faults.outage = jsonFlag(json, "outage", m_faults.outage);
    m_faults.hang = jsonFlag(json, "hang", m_faults.hang);
    m_faults.slowMs = jsonInteger(json, "slowMs", m_faults.slowMs);
    m_faults.loseReplies = jsonInteger(json, "loseReplies", m_faults.loseReplies);
    return jsonAnswer(200, Json{{"done", true}});
}

HttpResponse ObjectApiStandIn::stats()
{
    const MutexLock lock(m_mutex);
    return jsonAnswer(200, Json(m_counts));
}

HttpResponse ObjectApiStandIn::respondToWrite(std::uint64_t version)
{
    if (m_faults.loseReplies > 0) {
        --m_faults.loseReplies;
        return HttpResponse{0, {}, {}, {}, {}};
    }
    return jsonAnswer(200, Json{{"version", version}});
}

std::string ObjectApiStandIn::listBody(const std::string &kinds, std::uint64_t after, bool *hasChanges) const
{
    const std::vector<std::string> wanted = absl::StrSplit(kinds, ',');
    Json objects = Json::array();
    for (const auto &[key, stored] : m_objects) {
        const bool isWanted = std::find(wanted.begin(), wanted.end(), key.first) != wanted.end();
        if (!isWanted || stored.changedAt <= after) {
            continue;
        }
        *hasChanges = true;
        if (!stored.removed) {
            objects.push_back(objectJson(stored.object));
        }
    }
    return jsonDump(Json{{"version", m_version}, {"objects", std::move(objects)}});
}

bool ObjectApiStandIn::trySpendToken(TokenBucket *bucket, double perSecond)
{
    const absl::Time now = absl::Now();
    const double refill = bucket->updated == absl::InfinitePast() ? perSecond : absl::ToDoubleSeconds(now - bucket->updated) * perSecond;
    bucket->tokens = std::min(bucket->tokens + refill, perSecond);
    bucket->updated = now;
    if (bucket->tokens < 1) {
        return false;
    }
    bucket->tokens -= 1;
    return true;
}

}
