// One line a message on standard error: the Unix time, the level, the text. Past 200 lines in a second the
// rest are counted and left out, so that no far side can fill the log.
#pragma once

#include <fmt/format.h>

#include <string_view>

namespace quillgrade::log {

enum class Level { Info, Warning, Error };

void write(Level level, std::string_view text);

template <class... T>
void info(fmt::format_string<T...> form, T&&... values) {
    write(Level::Info, fmt::format(form, std::forward<T>(values)...));
}

template <class... T>
void warning(fmt::format_string<T...> form, T&&... values) {
    write(Level::Warning, fmt::format(form, std::forward<T>(values)...));
}

template <class... T>
void error(fmt::format_string<T...> form, T&&... values) {
    write(Level::Error, fmt::format(form, std::forward<T>(values)...));
}

}  // namespace quillgrade::log
