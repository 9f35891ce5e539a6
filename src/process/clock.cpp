// Reads the machine's clocks.
#include "clock_type.h"

#include <chrono>

namespace shallotfield {

instant
read_clocks()
{
  using namespace std::chrono;
  instant now;
  now.mono = duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
  now.unix = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  return now;
}

} // namespace shallotfield
