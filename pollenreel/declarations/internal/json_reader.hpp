// Strict reading of JSON values with the path kept for errors. Throws
// `read_failure`, which the codec turns into a result at its border.
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/declarations/error.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>

namespace pollenreel::declarations::internal {

// Carries a base::failure from the depth of a document to the codec's border.
class read_failure : public std::runtime_error {
public:
    explicit read_failure(base::failure f);
    [[nodiscard]] const base::failure& cause() const { return m_cause; }

private:
    base::failure m_cause;
};

// One JSON value and its path in the document.
class json_reader {
public:
    json_reader(const boost::json::value& value, std::string path);

    [[noreturn]] void fail(error e, std::string_view what) const;

    // Fails unless this is an object with no key outside `allowed`.
    void allow_keys(std::initializer_list<std::string_view> allowed) const;

    [[nodiscard]] bool has(std::string_view key) const;
    [[nodiscard]] json_reader at(std::string_view key) const;
    [[nodiscard]] std::string text() const; // 1-128 characters
    [[nodiscard]] bool boolean() const;
    [[nodiscard]] std::uint64_t number(std::uint64_t least,
                                       std::uint64_t most) const;

    // Calls `read` with a reader of each element of this array.
    template <class Read>
    void each(Read read) const {
        const auto& list = array();
        for (std::size_t i = 0; i < list.size(); ++i) {
            read(json_reader(list[i], m_path + "/" + std::to_string(i)));
        }
    }

private:
    [[nodiscard]] const boost::json::array& array() const;
    [[nodiscard]] const boost::json::object& object() const;

    const boost::json::value* m_value;
    std::string m_path;
};

} // namespace pollenreel::declarations::internal
