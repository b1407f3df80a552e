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

constexpr absl::Duration hangTime = absl::Seconds(5);
const std::string objectsPath = "/objects/";

HttpResponse problem(int status, const std::string &text)
{
    return jsonAnswer(status, Json{{"error", text}});
}

std::uint64_t numberOf(const std::string &text)
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
        if (!spend(isWrite ? &m_writes : &m_reads, isWrite ? writesPerSecond : readsPerSecond)) {
            ++m_counts["overRate"];
            return problem(429, "too many calls");
        }
    }
    if (faults.slowMs > 0) {
        absl::SleepFor(absl::Milliseconds(faults.slowMs));
    }
    if (faults.hang) {
        absl::SleepFor(hangTime);
        return HttpResponse{0, {}, {}, {}, {}};
    }
    if (faults.outage) {
        return problem(503, "outage");
    }
    if (request.path == "/objects") {
        return list(request.parameter("kinds"));
    }
    if (request.path == "/watch") {
        return watch(request);
    }
    if (!absl::StartsWith(request.path, objectsPath)) {
        return problem(404, "no such path");
    }
    const std::vector<std::string> parts = absl::StrSplit(request.path.substr(objectsPath.size()), '/');
    if (parts.size() == 3 && parts[2] == "status" && request.method == "PUT") {
        return putStatus(request, {parts[0], parts[1]});
    }
    if (parts.size() != 2) {
        return problem(404, "no such path");
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
        return problem(404, "no such object");
    }
    return jsonAnswer(200, objectJson(it->second.object));
}

HttpResponse ObjectApiStandIn::list(const std::string &kinds)
{
    const MutexLock lock(m_mutex);
    bool any = false;
    HttpResponse response = jsonAnswer(200, Json::object());
    response.body = listBody(kinds, 0, &any);
    return response;
}

HttpResponse ObjectApiStandIn::watch(const HttpRequest &request)
{
    const std::uint64_t after = numberOf(request.parameter("after"));
    const absl::Time until = absl::Now() + absl::Milliseconds(numberOf(request.parameter("waitMs")));
    const MutexLock lock(m_mutex);
    bool any = false;
    HttpResponse response = jsonAnswer(200, Json::object());
    response.body = listBody(request.parameter("kinds"), after, &any);
    while (!any && absl::Now() < until) {
        m_changed.waitFor(m_mutex, until - absl::Now());
        response.body = listBody(request.parameter("kinds"), after, &any);
    }
    return response;
}

HttpResponse ObjectApiStandIn::put(const HttpRequest &request, const Key &key)
{
    const Json spec = Json::parse(request.body, nullptr, false);
    if (spec.is_discarded() || !spec.is_object() || request.body.size() > 1024 * 1024) {
        return problem(400, "the spec is no JSON object, or over a megabyte");
    }
    const MutexLock lock(m_mutex);
    Stored &stored = m_objects[key];
    const std::uint64_t current = stored.removed ? 0 : stored.object.version;
    if (current != numberOf(request.parameter("ifVersion"))) {
        ++m_counts["conflicts"];
        return problem(409, absl::StrCat("the version is ", current));
    }
    const std::string status = stored.object.status;
    stored.object = StoredObject{key.first, key.second, ++m_version, jsonDump(spec), status};
    stored.changedAt = m_version;
    stored.removed = false;
    m_changed.signalAll();
    return answerWrite(m_version);
}

HttpResponse ObjectApiStandIn::putStatus(const HttpRequest &request, const Key &key)
{
    const MutexLock lock(m_mutex);
    const auto it = m_objects.find(key);
    if (it == m_objects.end() || it->second.removed) {
        return problem(404, "no such object");
    }
    it->second.object.status = request.body;
    return answerWrite(it->second.object.version);
}

HttpResponse ObjectApiStandIn::remove(const HttpRequest &request, const Key &key)
{
    const MutexLock lock(m_mutex);
    const auto it = m_objects.find(key);
    if (it == m_objects.end() || it->second.removed || it->second.object.version != numberOf(request.parameter("ifVersion"))) {
        return problem(409, "another version, or no such object");
    }
    it->second.removed = true;
    it->second.changedAt = ++m_version;
    m_changed.signalAll();
    return answerWrite(m_version);
}

HttpResponse ObjectApiStandIn::control(const HttpRequest &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (json.is_discarded()) {
        return problem(400, "no JSON");
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

HttpResponse ObjectApiStandIn::answerWrite(std::uint64_t version)
{
    if (m_faults.loseReplies > 0) {
        --m_faults.loseReplies;
        return HttpResponse{0, {}, {}, {}, {}};
    }
    return jsonAnswer(200, Json{{"version", version}});
}

std::string ObjectApiStandIn::listBody(const std::string &kinds, std::uint64_t after, bool *any) const
{
    const std::vector<std::string> wanted = absl::StrSplit(kinds, ',');
    Json objects = Json::array();
    for (const auto &[key, stored] : m_objects) {
        const bool isWanted = std::find(wanted.begin(), wanted.end(), key.first) != wanted.end();
        if (!isWanted || stored.changedAt <= after) {
            continue;
        }
        *any = true;
        if (!stored.removed) {
            objects.push_back(objectJson(stored.object));
        }
    }
    return jsonDump(Json{{"version", m_version}, {"objects", std::move(objects)}});
}

bool ObjectApiStandIn::spend(Bucket *bucket, double perSecond)
{
    const absl::Time now = absl::Now();
    const double earned = bucket->updated == absl::InfinitePast() ? perSecond : absl::ToDoubleSeconds(now - bucket->updated) * perSecond;
    bucket->tokens = std::min(bucket->tokens + earned, perSecond);
    bucket->updated = now;
    if (bucket->tokens < 1) {
        return false;
    }
    bucket->tokens -= 1;
    return true;
}

}
