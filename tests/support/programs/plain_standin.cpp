/// \file
/// \brief Program: one endpoint of a plain service on 127.0.0.1.
#include "support/plain_standin.hpp"
#include "support/program_options.hpp"

using namespace cardamombay;

int main(int argc, char **argv)
{
    std::string vm = "plain-1";
    std::string ledger;
    std::uint64_t port = 0;
    std::uint64_t incarnation = support::startStamp();
    support::ProgramOptions()
        .text("vm", vm, "name of this VM")
        .number("port", port, "port to listen on; 0 takes a free one")
        .number("incarnation", incarnation, "start number; default is a start stamp")
        .text("ledger", ledger, "file to which runs are appended")
        .parse(argc, argv);

    boost::asio::io_context context(1);
    support::PlainStandin endpoint(context, VmId{vm}, static_cast<std::uint16_t>(port),
                                   Incarnation{incarnation}, ledger);
    support::runStandin(context, endpoint.port());
    return 0;
}
