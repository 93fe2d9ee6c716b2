#include <cardamombay/watching/observation.hpp>

namespace cardamombay::watching {

bool supersedes(const Observation &candidate, const Observation &known, Duration replacementAge)
{
    const Incarnation incoming = candidate.state_.incarnation_;
    const Incarnation present = known.state_.incarnation_;
    if (incoming > present)
        return true;
    if (incoming == present)
        return candidate.observedAt_ > known.observedAt_;
    return candidate.observedAt_ > known.observedAt_ + replacementAge;
}

} // namespace cardamombay::watching
