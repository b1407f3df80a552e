#include "apricotladder/storeaccess.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace Apricot {

StoreAccess::StoreAccess(std::string url)
    : m_url(std::move(url))
{
}

Result<std::optional<StoredObject>> StoreAccess::get(const std::string &kind, const std::string &name) const
{
    HttpCall call;
    call.url = absl::StrCat(m_url, "/objects/", kind, "/", name);
    const HttpReply reply = HttpClient::call(call);
    if (reply.outcome == CallOutcome::Answered && reply.status == 404) {
        return std::optional<StoredObject>();
    }
    if (reply.outcome != CallOutcome::Answered || reply.status != 200) {
        return fail(ErrorKind::StoreUnavailable,
                    absl::StrCat("store ", m_url, ": ", reply.errorMessage, " status ", reply.status, "; check --store and try again"));
    }
    BOOST_LEAF_AUTO(object, decodeStoredObject(reply.body));
    return std::optional<StoredObject>(std::move(object));
}

Result<ObjectList> StoreAccess::list(const std::string &kinds) const
{
    HttpCall call;
    call.url = absl::StrCat(m_url, "/objects?kinds=", kinds);
    const HttpReply reply = HttpClient::call(call);
    if (reply.outcome != CallOutcome::Answered || reply.status != 200) {
        return fail(ErrorKind::StoreUnavailable,
                    absl::StrCat("store ", m_url, ": ", reply.errorMessage, " status ", reply.status, "; check --store and try again"));
    }
    return decodeObjectList(reply.body);
}

StoreAccess::WriteResult StoreAccess::put(const std::string &kind, const std::string &name, std::uint64_t ifVersion,
                                          const std::string &spec) const
{
    HttpCall call;
    call.method = "PUT";
    call.url = absl::StrCat(m_url, "/objects/", kind, "/", name, "?ifVersion=", ifVersion);
    call.body = spec;
    call.dedicatedConnection = true;
    const HttpReply reply = HttpClient::call(call);
    if (reply.outcome == CallOutcome::Answered && reply.status == 200) {
        return WriteResult::Written;
    }
    if (reply.outcome == CallOutcome::Answered && reply.status == 409) {
        return WriteResult::Conflict;
    }
    return reply.outcome == CallOutcome::SentWithoutResponse ? WriteResult::Unknown : WriteResult::Failed;
}

}
