#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace Apricot {

/// Converts to Abseil's string_view, which is a distinct type in Debian's Abseil package.
inline absl::string_view abslView(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Converts to std::string_view.
inline std::string_view stdView(absl::string_view text)
{
    return {text.data(), text.size()};
}

}
