#include "pollenreel/language/parser.hpp"

#include "pollenreel/language/error.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace pollenreel::language {

namespace {

struct word {
    std::string_view text;
    std::size_t column = 0; // from 1
};

// The words of a line; after the last comes an empty one.
class word_list {
public:
    explicit word_list(std::string_view line) : m_end(line.size() + 1) {
        std::size_t at = 0;
        while ((at = line.find_first_not_of(" \t\n", at)) !=
               std::string_view::npos) {
            const auto end =
                std::min(line.find_first_of(" \t\n", at), line.size());
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

base::failure expected(const word& at, std::string_view what) {
    return {make_error_code(error::syntax),
            fmt::format("column {}: expected {}, found {}", at.column, what,
                        at.text.empty() ? "the end of the line"
                                        : "'" + std::string(at.text) + "'")};
}

base::result<std::string> name(word_list& words, std::string_view what) {
    const auto w = words.next();
    if (w.text.empty()) {
        return expected(w, what);
    }
    return std::string(w.text);
}

base::result<void> keyword(word_list& words, std::string_view text) {
    const auto w = words.next();
    if (w.text != text) {
        return expected(w, fmt::format("'{}'", text));
    }
    return boost::outcome_v2::success();
}

template <class Query>
base::result<command> parse_service_from(word_list& words) {
    BOOST_OUTCOME_TRY(auto service, name(words, "the name of a service"));
    BOOST_OUTCOME_TRY(keyword(words, "from"));
    BOOST_OUTCOME_TRY(auto from, name(words, "the name of a failure domain"));
    return command(
        query(Query{base::service_id(service), base::failure_domain_id(from)}));
}

base::result<drainable> parse_drainable(word_list& words) {
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
    return expected(kind, "one of target, domain, instance");
}

base::result<command> parse_first(word_list& words) {
    const auto verb = words.next();
    if (verb.text == "status") {
        return command(query(status{}));
    }
    if (verb.text == "where") {
        return parse_service_from<where>(words);
    }
    if (verb.text == "drain") {
        BOOST_OUTCOME_TRY(auto what, parse_drainable(words));
        return command(change(drain{what}));
    }
    if (verb.text == "undrain") {
        BOOST_OUTCOME_TRY(auto what, parse_drainable(words));
        return command(change(undrain{what}));
    }
    return expected(verb, "one of status, where, drain, undrain");
}

} // namespace

base::result<command> parse(std::string_view line) {
    word_list words(line);
    BOOST_OUTCOME_TRY(auto parsed, parse_first(words));
    const auto rest = words.next();
    if (!rest.text.empty()) {
        return expected(rest, "the end of the line");
    }
    return parsed;
}

} // namespace pollenreel::language
