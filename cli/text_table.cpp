#include "cli/text_table.hpp"

#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace pollenreel::cli {

text_table::text_table(row header) : m_widths(header.size(), 0) {
    add(std::move(header));
}

void text_table::add(row cells) {
    for (std::size_t i = 0; i < m_widths.size(); ++i) {
        m_widths[i] = std::max(m_widths[i], cells.at(i).size());
    }
    m_rows.push_back(std::move(cells));
}

std::string text_table::text() const {
    std::string all;
    for (const auto& cells : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            line += fmt::format("{:<{}}  ", cells[i], m_widths[i]);
        }
        all += boost::algorithm::trim_right_copy(line) + "\n";
    }
    return all;
}

} // namespace pollenreel::cli
