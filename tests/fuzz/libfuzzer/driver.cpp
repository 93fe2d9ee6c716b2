// Entry point of libFuzzer for the target FUZZ_TARGET; see scripts/fuzz.sh.
#include "fuzz/fuzz_targets.hpp"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto *target = cardamombay::fuzz::findTarget(FUZZ_TARGET);
    target->run_({reinterpret_cast<const char *>(data), size});
    return 0;
}
