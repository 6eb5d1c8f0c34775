// Time as an interface. Decision code never reads a clock: it is handed a
// `time_point`. Shells that need one take a `const clock&`.
//
//   base::manual_clock clock;
//   clock.advance(std::chrono::seconds(2));
#pragma once

#include <chrono>

namespace pollenreel::base {

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using duration = steady::duration;
using wall_time = std::chrono::system_clock::time_point;

// Time since the machine's start that also passes while it is suspended, which
// the steady clock does not count. For rights that others withdraw.
struct boot_clock {
    using duration = steady::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};
using boot_time = boot_clock::time_point;

// Reads time. Implementations are safe to call from any thread.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    // Monotonic; the only source for deadlines and leases.
    [[nodiscard]] virtual time_point now() const = 0;
    // Monotonic; never behind the time that has really passed.
    [[nodiscard]] virtual boot_time boot_now() const = 0;
    // For people and logs only; may jump.
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

// The machine's clocks.
class system_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override;
    [[nodiscard]] boot_time boot_now() const override;
    [[nodiscard]] wall_time wall_now() const override;
};

// A clock that moves only when told to. One thread only.
class manual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return m_now; }
    [[nodiscard]] boot_time boot_now() const override {
        return boot_time(m_now.time_since_epoch() + m_suspended);
    }
    [[nodiscard]] wall_time wall_now() const override;
    void advance(duration by) { m_now += by; }
    void suspend(duration by) { m_suspended += by; }

private:
    time_point m_now{std::chrono::hours(1)};
    duration m_suspended{};
};

} // namespace pollenreel::base
