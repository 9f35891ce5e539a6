// Reads the clocks of the machine.
#include "clock_type.h"

#include <chrono>
#include <ctime>

namespace shallotfield {

instant
read_clocks()
{
  using namespace std::chrono;
  instant now;
  // Unlike std::chrono::steady_clock, CLOCK_BOOTTIME includes the time for which the machine was
  // suspended.
  timespec since_boot{};
  clock_gettime(CLOCK_BOOTTIME, &since_boot);
  now.mono =
    duration_cast<milliseconds>(seconds(since_boot.tv_sec) + nanoseconds(since_boot.tv_nsec))
      .count();
  now.unix = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  return now;
}

} // namespace shallotfield
