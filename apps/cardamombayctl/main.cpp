#include <cardamombay/forward.hpp>

int main()
{
    return 0;
}
