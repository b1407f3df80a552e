#pragma once

#include <compare>
#include <string>
#include <utility>

namespace Apricot {

/**
 * \class Name
 * \brief A strongly typed string identifier. Identifiers of different kinds do not convert to each other.
 */
template<class Kind>
class Name
{
public:
    Name() = default;

    explicit Name(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string &text() const
    {
        return m_text;
    }

    bool isEmpty() const
    {
        return m_text.empty();
    }

    friend bool operator==(const Name &, const Name &) = default;
    friend auto operator<=>(const Name &, const Name &) = default;

    template<class H>
    friend H AbslHashValue(H h, const Name &name)
    {
        return H::combine(std::move(h), name.m_text);
    }

private:
    std::string m_text;
};

using NodeId = Name<struct NodeIdKind>;
using EngineId = Name<struct EngineIdKind>;
using RequestId = Name<struct RequestIdKind>;
using ServiceName = Name<struct ServiceNameKind>;
using RankName = Name<struct RankNameKind>;
using PoolName = Name<struct PoolNameKind>;
using WorkspaceName = Name<struct WorkspaceNameKind>;
using DataCentreName = Name<struct DataCentreNameKind>;
using PromptPartId = Name<struct PromptPartIdKind>;
using IdempotencyKey = Name<struct IdempotencyKeyKind>;

}
