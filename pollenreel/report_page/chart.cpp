#include "pollenreel/report_page/chart.hpp"

#include <cairo-svg.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <memory>

namespace pollenreel::report_page {

namespace {

constexpr double width = 560;
constexpr double height = 240;
constexpr double left = 46;
constexpr double right = width - 130; // the legend stands right of it
constexpr double top = 30;
constexpr double bottom = height - 26;
constexpr double text_size = 11;
constexpr double title_size = 13;
constexpr double legend_step = 17;
constexpr int grid_lines = 4;

struct colour {
    double red;
    double green;
    double blue;
};

constexpr colour ink{0.15, 0.15, 0.2};
constexpr colour faint{0.85, 0.85, 0.88};
constexpr colour warning{0.8, 0.2, 0.15};
// Okabe and Ito's palette, told apart also by the colour-blind; black first.
constexpr std::array<colour, 7> palette = {{{0, 0, 0},
                                            {0.0, 0.45, 0.7},
                                            {0.9, 0.6, 0.0},
                                            {0.0, 0.62, 0.45},
                                            {0.8, 0.47, 0.65},
                                            {0.34, 0.71, 0.91},
                                            {0.84, 0.37, 0.0}}};

cairo_status_t append(void* to, const unsigned char* data, unsigned length) {
    static_cast<std::string*>(to)->append(reinterpret_cast<const char*>(data),
                                          length);
    return CAIRO_STATUS_SUCCESS;
}

// A drawing area whose SVG text is complete once it is destroyed.
class canvas {
public:
    explicit canvas(std::string& to)
        : m_surface(
              cairo_svg_surface_create_for_stream(append, &to, width, height),
              cairo_surface_destroy),
          m_context(cairo_create(m_surface.get()), cairo_destroy) {
        cairo_svg_surface_set_document_unit(m_surface.get(), CAIRO_SVG_UNIT_PX);
        cairo_select_font_face(m_context.get(), "sans-serif",
                               CAIRO_FONT_SLANT_NORMAL,
                               CAIRO_FONT_WEIGHT_NORMAL);
    }

    void pen(const colour& c, double line_width) {
        cairo_set_source_rgb(m_context.get(), c.red, c.green, c.blue);
        cairo_set_line_width(m_context.get(), line_width);
    }
    void text(double x, double y, double size, const std::string& what) {
        cairo_set_font_size(m_context.get(), size);
        cairo_move_to(m_context.get(), x, y);
        cairo_show_text(m_context.get(), what.c_str());
    }
    void move_to(double x, double y) { cairo_move_to(m_context.get(), x, y); }
    void line_to(double x, double y) { cairo_line_to(m_context.get(), x, y); }
    void stroke() { cairo_stroke(m_context.get()); }
    void line(double x1, double y1, double x2, double y2) {
        move_to(x1, y1);
        line_to(x2, y2);
        stroke();
    }
    // A single point, where neighbours are missing.
    void dot(double x, double y) {
        constexpr double radius = 1.8;
        constexpr double full_turn = 6.283185307179586;
        cairo_new_path(m_context.get());
        cairo_arc(m_context.get(), x, y, radius, 0, full_turn);
        cairo_fill(m_context.get());
    }

private:
    std::unique_ptr<cairo_surface_t, void (*)(cairo_surface_t*)> m_surface;
    std::unique_ptr<cairo_t, void (*)(cairo_t*)> m_context;
};

double greatest(const chart& c) {
    double most = 1;
    for (const auto& l : c.lines) {
        for (const auto& v : l.values) {
            most = std::max(most, v.value_or(0));
        }
    }
    return most;
}

// The least round number that leaves `value` some room above.
double round_up(double value) {
    constexpr double room_above = 1.05;
    constexpr double steps[] = {1, 2, 4, 8, 10};
    double scale = 1;
    while (scale * steps[4] < value * room_above) {
        scale *= steps[4];
    }
    for (const double s : steps) {
        if (scale * s >= value * room_above) {
            return scale * s;
        }
    }
    return scale * steps[4];
}

double y_of(double value, double most) {
    return bottom - (bottom - top) * value / most;
}

double x_of(std::size_t i, std::size_t count) {
    const auto last = static_cast<double>(std::max<std::size_t>(count, 2) - 1);
    return left + (right - left) * static_cast<double>(i) / last;
}

void draw_frame(canvas& on, const chart& c, double most) {
    on.pen(ink, 1);
    on.text(left, top - 12, title_size, c.title);
    for (int i = 0; i <= grid_lines; ++i) {
        const auto value = most * i / grid_lines;
        const auto y = y_of(value, most);
        on.pen(faint, 1);
        on.line(left, y, right, y);
        on.pen(ink, 1);
        on.text(6, y + 4, text_size, fmt::format("{:.1f}", value));
    }
    on.text(left, bottom + 17, text_size, c.oldest);
    on.text(right - 22, bottom + 17, text_size, "now");
}

void draw_thresholds(canvas& on, const chart& c, double most) {
    on.pen(warning, 1);
    for (const auto t : c.thresholds) {
        if (t < most) {
            on.line(left, y_of(t, most), right, y_of(t, most));
            on.text(left + 3, y_of(t, most) - 3, text_size,
                    fmt::format("{:g}x", t));
        }
    }
}

void draw_line(canvas& on, const chart_line& l, double most) {
    const auto count = l.values.size();
    for (std::size_t i = 0; i < count; ++i) {
        if (!l.values[i]) {
            continue;
        }
        const auto x = x_of(i, count);
        const auto y = y_of(*l.values[i], most);
        if (i > 0 && l.values[i - 1]) {
            on.line(x_of(i - 1, count), y_of(*l.values[i - 1], most), x, y);
        } else {
            on.dot(x, y);
        }
    }
}

} // namespace

std::string to_svg(const chart& c) {
    std::string svg;
    {
        canvas on(svg);
        const auto most = round_up(greatest(c));
        draw_frame(on, c, most);
        draw_thresholds(on, c, most);
        for (std::size_t i = c.lines.size(); i-- > 0;) {
            on.pen(palette.at(i % palette.size()), i == 0 ? 2.2 : 1.4);
            draw_line(on, c.lines[i], most);
            const auto y = top + 10 + legend_step * static_cast<double>(i);
            on.line(right + 12, y - 4, right + 28, y - 4);
            on.text(right + 33, y, text_size, c.lines[i].name);
        }
    }
    return svg;
}

} // namespace pollenreel::report_page
