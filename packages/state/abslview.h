#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace Apricot {

/// The same text for Abseil, whose Debian package has a string_view type of its own.
inline absl::string_view abslView(std::string_view text)
{
    return {text.data(), text.size()};
}

/// The same text for the standard library.
inline std::string_view stdView(absl::string_view text)
{
    return {text.data(), text.size()};
}

}
