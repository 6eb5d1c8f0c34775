#include "pollenreel/language/parser.hpp"

#include "pollenreel/language/error.hpp"
#include "pollenreel/language/nearest.hpp"
#include "pollenreel/language/quantity.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <vector>

namespace pollenreel::language {

namespace {

constexpr std::string_view blanks = " \t\r\n";

struct word {
    std::string_view text;
    std::size_t column = 1;
};

// The words of a line; after the last comes an empty one.
class word_list {
public:
    explicit word_list(std::string_view line) : m_end(line.size() + 1) {
        std::size_t at = 0;
        while ((at = line.find_first_not_of(blanks, at)) !=
               std::string_view::npos) {
            const auto end =
                std::min(line.find_first_of(blanks, at), line.size());
            m_words.push_back({line.substr(at, end - at), at + 1});
            at = end;
        }
    }
    word next() {
        return m_next < m_words.size() ? m_words[m_next++] : word{"", m_end};
    }

private:
    std::vector<word> m_words;
    std::size_t m_next = 0;
    std::size_t m_end;
};

syntax_problem expected(const word& at, std::string_view what) {
    return {at.column, std::string(what), std::string(at.text), {}};
}

syntax_problem expected_one_of(const word& at,
                               std::span<const std::string_view> words) {
    auto problem =
        expected(at, fmt::format("one of {}", fmt::join(words, ", ")));
    problem.suggestion = nearest(at.text, words);
    return problem;
}

parsed<std::string> name(word_list& words, std::string_view what) {
    const auto w = words.next();
    if (w.text.empty()) {
        return expected(w, what);
    }
    if (w.text.size() > longest_name) {
        return expected(
            w, fmt::format("{} of at most {} bytes", what, longest_name));
    }
    return std::string(w.text);
}

parsed<void> keyword(word_list& words, std::string_view text) {
    const auto w = words.next();
    if (w.text != text) {
        auto problem = expected(w, fmt::format("'{}'", text));
        problem.suggestion = nearest(w.text, std::array{text});
        return problem;
    }
    return boost::outcome_v2::success();
}

// The next word as `read` understands it.
template <class Read>
auto quantity(word_list& words, Read read, std::string_view what)
    -> parsed<typename decltype(read(std::string_view()))::value_type> {
    const auto w = words.next();
    const auto value = read(w.text);
    if (!value) {
        return expected(w, what);
    }
    return *value;
}

parsed<base::service_id> service_name(word_list& words) {
    BOOST_OUTCOME_TRY(auto id, name(words, "the name of a service"));
    return base::service_id(id);
}

parsed<base::region_id> region_name(word_list& words) {
    BOOST_OUTCOME_TRY(auto id, name(words, "the name of a region"));
    return base::region_id(id);
}

template <class Query>
parsed<command> parse_service_from(word_list& words) {
    BOOST_OUTCOME_TRY(auto service, service_name(words));
    BOOST_OUTCOME_TRY(keyword(words, "from"));
    BOOST_OUTCOME_TRY(auto from, name(words, "the name of a failure domain"));
    return command(query(Query{service, base::failure_domain_id(from)}));
}

template <class Query>
parsed<command> parse_bare(word_list&) {
    return command(query(Query{}));
}

parsed<command> parse_report(word_list& words) {
    BOOST_OUTCOME_TRY(keyword(words, "burn"));
    return command(query(report_burn{}));
}

parsed<drainable> parse_drainable(word_list& words) {
    static constexpr std::array<std::string_view, 3> kinds = {
        "target", "domain", "instance"};
    const auto kind = words.next();
    if (kind.text == "target") {
        BOOST_OUTCOME_TRY(auto id, name(words, "the name of a target"));
        return drainable(base::target_id(id));
    }
    if (kind.text == "domain") {
        BOOST_OUTCOME_TRY(auto id, name(words, "the name of a failure domain"));
        return drainable(base::failure_domain_id(id));
    }
    if (kind.text == "instance") {
        BOOST_OUTCOME_TRY(auto id, name(words, "the name of an instance"));
        return drainable(base::instance_id(id));
    }
    return expected_one_of(kind, kinds);
}

template <class Change>
parsed<command> parse_drain(word_list& words) {
    BOOST_OUTCOME_TRY(auto what, parse_drainable(words));
    return command(change(Change{what}));
}

parsed<command> parse_start_shift(word_list& words) {
    start_shift s;
    BOOST_OUTCOME_TRY(s.service, service_name(words));
    BOOST_OUTCOME_TRY(s.from, region_name(words));
    BOOST_OUTCOME_TRY(keyword(words, "->"));
    BOOST_OUTCOME_TRY(s.to, region_name(words));
    BOOST_OUTCOME_TRY(
        s.percent,
        quantity(words, read_percent, "a share from 1% to 100%, such as 30%"));
    BOOST_OUTCOME_TRY(keyword(words, "cap"));
    BOOST_OUTCOME_TRY(
        s.cap_megabits_per_second,
        quantity(words, read_megabits_per_second,
                 "a bandwidth from 1Mbit/s to 10000Gbit/s, such as 400Mbit/s"));
    BOOST_OUTCOME_TRY(keyword(words, "over"));
    BOOST_OUTCOME_TRY(
        s.over, quantity(words, read_duration,
                         "a duration from 1s to 24h, such as 90s, 10m or 2h"));
    return command(change(s));
}

template <class Change>
parsed<command> parse_on_shift(word_list& words) {
    BOOST_OUTCOME_TRY(keyword(words, "shift"));
    BOOST_OUTCOME_TRY(auto id, name(words, "the id of a shift"));
    return command(change(Change{base::shift_id(id)}));
}

parsed<command> parse_limit(word_list& words) {
    set_limit l;
    BOOST_OUTCOME_TRY(l.service, service_name(words));
    BOOST_OUTCOME_TRY(keyword(words, "in"));
    BOOST_OUTCOME_TRY(l.region, region_name(words));
    BOOST_OUTCOME_TRY(l.requests_per_second,
                      quantity(words, read_requests_per_second,
                               "a rate from 1/s to 100000000/s, such as "
                               "500/s"));
    return command(change(l));
}

parsed<command> parse_unlimit(word_list& words) {
    remove_limit l;
    BOOST_OUTCOME_TRY(l.service, service_name(words));
    BOOST_OUTCOME_TRY(keyword(words, "in"));
    BOOST_OUTCOME_TRY(l.region, region_name(words));
    return command(change(l));
}

struct verb {
    std::string_view name;
    parsed<command> (*parse)(word_list&);
};

constexpr verb verbs[] = {
    {"status", parse_bare<status>},
    {"where", parse_service_from<where>},
    {"why", parse_service_from<why>},
    {"shifts", parse_bare<list_shifts>},
    {"history", parse_bare<history>},
    {"report", parse_report},
    {"drain", parse_drain<drain>},
    {"undrain", parse_drain<undrain>},
    {"shift", parse_start_shift},
    {"pause", parse_on_shift<pause_shift>},
    {"resume", parse_on_shift<resume_shift>},
    {"reverse", parse_on_shift<reverse_shift>},
    {"abort", parse_on_shift<abort_shift>},
    {"limit", parse_limit},
    {"unlimit", parse_unlimit},
};

parsed<command> parse_first(word_list& words) {
    const auto first = words.next();
    std::vector<std::string_view> names;
    for (const auto& v : verbs) {
        if (first.text == v.name) {
            return v.parse(words);
        }
        names.push_back(v.name);
    }
    return expected_one_of(first, names);
}

} // namespace

std::string syntax_problem::text() const {
    auto text =
        fmt::format("column {}: expected {}, found {}", column, expected,
                    found.empty() ? "the end of the line" : "'" + found + "'");
    if (!suggestion.empty()) {
        text += fmt::format("; did you mean '{}'?", suggestion);
    }
    return text;
}

parsed<command> parse_line(std::string_view line) {
    if (line.size() > longest_line) {
        return syntax_problem{
            longest_line + 1,
            fmt::format("a line of at most {} bytes", longest_line),
            "a longer one",
            {}};
    }
    word_list words(line);
    BOOST_OUTCOME_TRY(auto read, parse_first(words));
    const auto rest = words.next();
    if (!rest.text.empty()) {
        return expected(rest, "the end of the line");
    }
    return read;
}

base::result<command> parse(std::string_view line) {
    auto read = parse_line(line);
    if (!read) {
        return base::failure{make_error_code(error::syntax),
                             read.error().text()};
    }
    return read.value();
}

} // namespace pollenreel::language
