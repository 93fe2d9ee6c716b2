#include <cardamombay/rpc/digest_codec.hpp>

#include "rpc/digest_json.hpp"

#include <exception>

namespace cardamombay::rpc {

std::string encodeDigest(const membership::Digest &digest)
{
    return impl::write(impl::toJson(digest));
}

Result<membership::Digest> decodeDigest(std::string_view text, std::string_view source)
{
    try {
        return impl::digestFrom(impl::parse(text));
    } catch (const std::exception &problem) {
        return Error(MalformedMessage{std::string(source), problem.what()});
    }
}

} // namespace cardamombay::rpc
