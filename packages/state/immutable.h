#pragma once

#include <compare>
#include <type_traits>
#include <utility>

namespace Apricot {

/**
 * \class Immutable
 * \brief A value type whose fields cannot change after construction.
 *
 * \a Fields is a plain aggregate with comparison operators. Access is read-only through operator->;
 * with() returns a modified copy, and the nested Builder creates new values.
 */
template<class Fields>
class Immutable
{
public:
    /**
     * \class Builder
     * \brief Collects field values and builds an immutable value from them.
     */
    class Builder
    {
    public:
        template<class T>
        Builder &set(T Fields::*field, std::type_identity_t<T> value)
        {
            m_fields.*field = std::move(value);
            return *this;
        }

        Immutable build() const
        {
            return Immutable(m_fields);
        }

    private:
        Fields m_fields;
    };

    Immutable() = default;

    explicit Immutable(Fields fields)
        : m_fields(std::move(fields))
    {
    }

    const Fields *operator->() const
    {
        return &m_fields;
    }

    const Fields &fields() const
    {
        return m_fields;
    }

    /// Returns a copy with \a field set to \a value.
    template<class T>
    Immutable with(T Fields::*field, std::type_identity_t<T> value) const
    {
        Fields copy = m_fields;
        copy.*field = std::move(value);
        return Immutable(std::move(copy));
    }

    friend bool operator==(const Immutable &left, const Immutable &right)
    {
        return left.m_fields == right.m_fields;
    }

    friend auto operator<=>(const Immutable &left, const Immutable &right) requires requires(const Fields &a)
    {
        a <=> a;
    }
    {
        return left.m_fields <=> right.m_fields;
    }

private:
    Fields m_fields;
};

}
