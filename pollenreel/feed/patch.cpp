#include "pollenreel/feed/patch.hpp"

#include <xxhash.h>

#include <unordered_map>

namespace pollenreel::feed {

namespace {

constexpr std::size_t piece_overhead_bytes = 16;

bool ends_block(std::string_view text, std::size_t i) {
    return text[i] == ',' && i > 0 &&
           (text[i - 1] == '}' || text[i - 1] == ']');
}

// Texts of the blocks, in order; together they are the whole text.
std::vector<std::string_view> blocks_of(std::string_view text) {
    std::vector<std::string_view> blocks;
    std::size_t begin = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (ends_block(text, i)) {
            blocks.push_back(text.substr(begin, i + 1 - begin));
            begin = i + 1;
        }
    }
    if (begin < text.size()) {
        blocks.push_back(text.substr(begin));
    }
    return blocks;
}

std::uint64_t offset_of(std::string_view part, std::string_view whole) {
    return static_cast<std::uint64_t>(part.data() - whole.data());
}

// Makes pieces from blocks; neighbours in both texts become one piece.
class builder {
public:
    explicit builder(std::string_view old_text) : m_old(old_text) {
        for (const auto block : blocks_of(old_text)) {
            m_first.emplace(block, offset_of(block, old_text));
        }
    }

    void add(std::string_view block) {
        if (continues(block)) {
            m_made.back().length += block.size();
            return;
        }
        const auto found = m_first.find(block);
        if (found != m_first.end()) {
            m_made.push_back({found->second, block.size(), {}});
            return;
        }
        if (m_made.empty()) {
            m_made.emplace_back();
        }
        m_made.back().literal += block;
    }

    [[nodiscard]] patch take() { return std::move(m_made); }

private:
    [[nodiscard]] bool continues(std::string_view block) const {
        if (m_made.empty() || !m_made.back().literal.empty()) {
            return false;
        }
        const auto next = m_made.back().offset + m_made.back().length;
        return next <= m_old.size() &&
               m_old.substr(next, block.size()) == block;
    }

    std::string_view m_old;
    std::unordered_map<std::string_view, std::uint64_t> m_first;
    patch m_made;
};

} // namespace

patch make_patch(std::string_view old_text, std::string_view new_text) {
    builder b(old_text);
    for (const auto block : blocks_of(new_text)) {
        b.add(block);
    }
    return b.take();
}

std::optional<std::string> apply_patch(std::string_view old_text,
                                       const patch& p, std::size_t most_bytes) {
    std::string made;
    for (const auto& one : p) {
        if (one.offset > old_text.size() ||
            one.length > old_text.size() - one.offset ||
            made.size() + one.length + one.literal.size() > most_bytes) {
            return std::nullopt;
        }
        made += old_text.substr(one.offset, one.length);
        made += one.literal;
    }
    return made;
}

std::uint64_t checksum(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

std::size_t size_of(const patch& p) {
    std::size_t bytes = 0;
    for (const auto& one : p) {
        bytes += piece_overhead_bytes + one.literal.size();
    }
    return bytes;
}

} // namespace pollenreel::feed
