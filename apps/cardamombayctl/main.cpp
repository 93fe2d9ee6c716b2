#include <cardamombay/cli/control_program.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    return cardamombay::cli::runControlProgram(argc, argv, std::cout, std::cerr);
}
