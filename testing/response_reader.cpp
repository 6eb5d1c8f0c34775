#include "testing/response_reader.hpp"

#include <algorithm>
#include <cctype>
#include <limits>
#include <optional>

namespace pollenreel::testing {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;
constexpr unsigned switching_protocols = 101;

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_token_char(char c) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           marks.find(c) != std::string_view::npos;
}

// HTAB, SP, VCHAR or obs-text.
bool is_text_char(char c) {
    const auto byte = static_cast<unsigned char>(c);
    constexpr unsigned char del = 127;
    return c == '\t' || (byte >= ' ' && byte != del);
}

bool is_text(std::string_view s) {
    return std::all_of(s.begin(), s.end(), is_text_char);
}

std::string_view trim(std::string_view s) {
    const auto first = s.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return s.substr(first, s.find_last_not_of(" \t") - first + 1);
}

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    const auto lower = [](char c) {
        return std::tolower(static_cast<unsigned char>(c));
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::size_t> read_number(std::string_view digits, unsigned base) {
    constexpr auto max = std::numeric_limits<std::size_t>::max();
    if (digits.empty()) {
        return std::nullopt;
    }
    std::size_t n = 0;
    for (const char c : digits) {
        const auto byte = static_cast<unsigned char>(c);
        unsigned digit = base;
        if (is_digit(c)) {
            digit = static_cast<unsigned>(c - '0');
        } else if (std::isxdigit(byte) != 0) {
            digit = static_cast<unsigned>(std::tolower(byte) - 'a') + 10;
        }
        if (digit >= base || n > (max - digit) / base) {
            return std::nullopt;
        }
        n = n * base + digit;
    }
    return n;
}

// At least one element; some may be empty.
std::vector<std::string_view> split_list(std::string_view list) {
    std::vector<std::string_view> elements;
    while (true) {
        const auto comma = std::min(list.find(','), list.size());
        elements.push_back(trim(list.substr(0, comma)));
        if (comma == list.size()) {
            return elements;
        }
        list.remove_prefix(comma + 1);
    }
}

// Takes a message apart from its front. Every part is a result, or nothing if
// the bytes do not reach that far; what is wrong is kept in `problem`.
class parser {
public:
    explicit parser(std::string_view bytes) : m_rest(bytes) {}

    [[nodiscard]] std::size_t left() const { return m_rest.size(); }
    [[nodiscard]] const std::string& problem() const { return m_problem; }

    std::optional<std::string_view> line() {
        const auto end = m_rest.find(line_end);
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const auto l = m_rest.substr(0, end);
        m_rest.remove_prefix(end + line_end.size());
        return l;
    }

    std::optional<std::string_view> take(std::size_t n) {
        if (m_rest.size() < n) {
            return std::nullopt;
        }
        const auto bytes = m_rest.substr(0, n);
        m_rest.remove_prefix(n);
        return bytes;
    }

    std::string_view take_all() { return *take(m_rest.size()); }

    std::optional<unsigned> status_line() {
        constexpr std::string_view version = "HTTP/1.";
        constexpr std::size_t code_at = 9;
        constexpr std::size_t code_size = 3;
        // Wrong bytes show before the line is whole.
        const auto known = std::min(m_rest.size(), version.size());
        if (m_rest.substr(0, known) != version.substr(0, known)) {
            return fail("no HTTP version");
        }
        const auto l = line();
        if (!l) {
            return std::nullopt;
        }
        if (l->size() <= code_at + code_size || !is_digit((*l)[7]) ||
            (*l)[8] != ' ' || (*l)[code_at + code_size] != ' ') {
            return fail("a status line of another form");
        }
        const auto status = read_number(l->substr(code_at, code_size), 10);
        if (!status || *status < 100 || *status > 599) {
            return fail("no status code");
        }
        if (!is_text(l->substr(code_at + code_size))) {
            return fail("a control byte in the reason");
        }
        m_minor_version = (*l)[7] - '0';
        return static_cast<unsigned>(*status);
    }

    // Up to the empty line after them.
    bool fields(whole_response& to) {
        while (const auto l = line()) {
            if (l->empty()) {
                return true;
            }
            if (!field(*l, to)) {
                return false;
            }
        }
        return false;
    }

    bool is_http_1_0() const { return m_minor_version == 0; }

    // False if it is not whole; then there may be a problem.
    bool chunks(std::string& body) {
        while (const auto l = line()) {
            const auto digits = l->substr(0, l->find_first_of("; \t"));
            const auto size = read_number(digits, 16);
            const auto extension = l->substr(digits.size());
            if (!size || !is_text(extension) ||
                (!extension.empty() &&
                 extension.find(';') == std::string_view::npos)) {
                fail("no chunk size");
                return false;
            }
            if (*size == 0) {
                whole_response trailers;
                return fields(trailers);
            }
            const auto data = take(*size);
            const auto end = data ? take(line_end.size()) : std::nullopt;
            if (!end) {
                return false;
            }
            if (*end != line_end) {
                fail("a chunk longer than its size");
                return false;
            }
            body += *data;
        }
        return false;
    }

private:
    std::nullopt_t fail(std::string why) {
        m_problem = std::move(why);
        return std::nullopt;
    }

    bool field(std::string_view l, whole_response& to) {
        if (l.front() == ' ' || l.front() == '\t') {
            if (to.fields.empty() || !is_text(l)) {
                fail("a folded line without a field");
                return false;
            }
            to.fields.back().second += ' ' + std::string(trim(l));
            return true;
        }
        const auto colon = l.find(':');
        const auto name = l.substr(0, colon);
        if (colon == std::string_view::npos || name.empty() ||
            !std::all_of(name.begin(), name.end(), is_token_char)) {
            fail("no field name: " + std::string(name));
            return false;
        }
        const auto value = trim(l.substr(colon + 1));
        if (!is_text(value)) {
            fail("a control byte in the value of " + std::string(name));
            return false;
        }
        to.fields.emplace_back(name, value);
        return true;
    }

    std::string_view m_rest;
    std::string m_problem;
    int m_minor_version = 1;
};

// What the fields say of the body's length.
struct no_body {};
struct body_of_size {
    std::size_t size;
};
struct chunked_body {};
struct body_until_close {};
struct bad_framing {
    std::string why;
};
using framing = std::variant<no_body, body_of_size, chunked_body,
                             body_until_close, bad_framing>;

// RFC 9112, section 6.3.
framing read_framing(const whole_response& head, std::string_view method,
                     bool http_1_0) {
    std::vector<std::string_view> codings;
    std::vector<std::string_view> lengths;
    for (const auto& [name, value] : head.fields) {
        auto* to = equals_ignoring_case(name, "Transfer-Encoding") ? &codings
                   : equals_ignoring_case(name, "Content-Length")  ? &lengths
                                                                   : nullptr;
        if (to != nullptr) {
            const auto elements = split_list(value);
            to->insert(to->end(), elements.begin(), elements.end());
        }
    }
    std::optional<std::size_t> length;
    for (const auto l : lengths) {
        const auto n = read_number(l, 10);
        if (!n || (length && *length != *n)) {
            return bad_framing{"no one length"};
        }
        length = n;
    }
    const bool has_coding = !codings.empty();
    if (has_coding && length) {
        return bad_framing{"a length beside a coding"};
    }
    if (has_coding && http_1_0) {
        return bad_framing{"a transfer coding in HTTP/1.0"};
    }
    const bool is_bare = head.status < 200 || head.status == no_content;
    if (is_bare && (has_coding || length.value_or(0) > 0)) {
        return bad_framing{"a body that its status does not allow"};
    }
    if (is_bare || head.status == not_modified || method == "HEAD") {
        return no_body{};
    }
    if (has_coding) {
        std::erase(codings, std::string_view());
        const bool chunked = codings.size() == 1 &&
                             equals_ignoring_case(codings.front(), "chunked");
        return chunked ? framing(chunked_body{})
                       : framing(bad_framing{"a coding that is not chunked"});
    }
    return length ? framing(body_of_size{*length})
                  : framing(body_until_close{});
}

// Appends the body; false if it is not whole.
class body_reader {
public:
    body_reader(parser& from, std::string& to, stream_state s)
        : m_from(from), m_to(to), m_state(s) {}

    bool operator()(const no_body&) const { return true; }
    bool operator()(const body_of_size& b) const {
        const auto bytes = m_from.take(b.size);
        m_to += bytes.value_or("");
        return bytes.has_value();
    }
    bool operator()(const chunked_body&) const { return m_from.chunks(m_to); }
    bool operator()(const body_until_close&) const {
        m_to += m_from.take_all();
        return m_state == stream_state::closed;
    }
    bool operator()(const bad_framing&) const { return false; }

private:
    parser& m_from;
    std::string& m_to;
    stream_state m_state;
};

response_reading unfinished_or_invalid(const parser& p) {
    if (p.problem().empty()) {
        return unfinished_response{};
    }
    return invalid_response{p.problem()};
}

} // namespace

std::string_view whole_response::field(std::string_view name) const {
    const auto found =
        std::find_if(fields.begin(), fields.end(), [&](const auto& f) {
            return equals_ignoring_case(f.first, name);
        });
    return found == fields.end() ? std::string_view()
                                 : std::string_view(found->second);
}

response_reading read_response(std::string_view bytes, std::string_view method,
                               stream_state s) {
    parser p(bytes);
    while (true) {
        whole_response r;
        const auto status = p.status_line();
        if (!status || !p.fields(r)) {
            return unfinished_or_invalid(p);
        }
        r.status = *status;
        if (r.status == switching_protocols) {
            return invalid_response{"a switch of protocols"};
        }
        const auto f = read_framing(r, method, p.is_http_1_0());
        if (const auto* bad = std::get_if<bad_framing>(&f)) {
            return invalid_response{bad->why};
        }
        if (!std::visit(body_reader(p, r.body, s), f)) {
            return unfinished_or_invalid(p);
        }
        if (r.status >= 200) {
            r.size = bytes.size() - p.left();
            return r;
        }
    }
}

} // namespace pollenreel::testing
