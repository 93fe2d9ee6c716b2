#include "support/answer_splitter.hpp"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace cardamombay::support {

namespace http = boost::beast::http;

std::optional<AnswerPart> AnswerSplitter::next()
{
    if (pending_.empty())
        return std::nullopt;
    if (!isHttp_)
        return AnswerPart{std::exchange(pending_, {}), true, true};
    const bool isFirst = !parser_;
    if (isFirst) {
        parser_.emplace();
        parser_->eager(true);
        parser_->body_limit(boost::none);
    }
    boost::system::error_code failure;
    const auto used = parser_->put(boost::asio::buffer(pending_), failure);
    if (failure == http::error::need_more && used == 0) {
        // The head is not whole; the parser has to see it again from its start.
        if (isFirst)
            parser_.reset();
        return std::nullopt;
    }
    if (failure && failure != http::error::need_more) {
        isHttp_ = false;
        return AnswerPart{std::exchange(pending_, {}), true, true};
    }
    AnswerPart part{pending_.substr(0, used), isFirst, parser_->is_done()};
    pending_.erase(0, used);
    if (part.isLast_)
        parser_.reset();
    return part;
}

} // namespace cardamombay::support
