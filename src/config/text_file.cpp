#include <cardamombay/config/text_file.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

namespace cardamombay::config {

Result<std::string> readTextFile(const std::string &file)
{
    errno = 0;
    std::ifstream in(file, std::ios::binary);
    std::string text;
    if (in)
        text.assign(std::istreambuf_iterator<char>(in), {});
    if (in.bad() || !in.is_open() || errno == EISDIR) {
        const std::string reason = errno != 0 ? std::strerror(errno) : "not a readable file";
        return Error(InvalidInput{{file, 0, 0},
                                  "",
                                  "the file cannot be read: " + reason,
                                  "check the path and its permissions"});
    }
    return text;
}

} // namespace cardamombay::config
