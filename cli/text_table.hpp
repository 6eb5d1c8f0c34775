// Lines up columns of text.
//
//   cli::text_table t({"INSTANCE", "STATE"});
//   t.add({"khomas-a-1", "live"});
//   fmt::print("{}", t.text());
#pragma once

#include <string>
#include <vector>

namespace pollenreel::cli {

class text_table {
public:
    using row = std::vector<std::string>;

    explicit text_table(row header);

    // `cells` has as many elements as the header.
    void add(row cells);
    [[nodiscard]] std::string text() const;

private:
    std::vector<row> m_rows;
    std::vector<std::size_t> m_widths;
};

} // namespace pollenreel::cli
