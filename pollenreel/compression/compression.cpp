#include "pollenreel/compression/compression.hpp"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace pollenreel::compression {

namespace {

constexpr int level = 3;
// A base is searched as far back as the window reaches.
constexpr int min_window_log = 17;
constexpr int max_window_log = 24;

struct free_context {
    void operator()(ZSTD_CCtx* c) const { ZSTD_freeCCtx(c); }
    void operator()(ZSTD_DCtx* d) const { ZSTD_freeDCtx(d); }
};

int window_log(std::size_t bytes) {
    return std::clamp(static_cast<int>(std::bit_width(bytes)), min_window_log,
                      max_window_log);
}

} // namespace

std::string compress(std::string_view text, std::string_view base) {
    const std::unique_ptr<ZSTD_CCtx, free_context> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    // Detects a wrong base, too.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                               window_log(base.size() + text.size()));
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching,
                               1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    // Fails only if the output is too small, which it is not, or without
    // memory.
    const auto size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(),
                                     text.data(), text.size());
    bytes.resize(ZSTD_isError(size) != 0U ? 0 : size);
    bytes.shrink_to_fit();
    return bytes;
}

std::optional<std::string> decompress(std::string_view bytes,
                                      std::string_view base,
                                      std::size_t max_bytes) {
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
        size > max_bytes) {
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_DCtx, free_context> context(ZSTD_createDCtx());
    if (!base.empty()) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string text(size, '\0');
    const auto written = ZSTD_decompressDCtx(
        context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) != 0U || written != size) {
        return std::nullopt;
    }
    return text;
}

} // namespace pollenreel::compression
