// Reads the state of a TCP connection whose socket belongs to Qt.
#include "tcp_state_reader.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotfield {

tcp_state_reader::~tcp_state_reader()
{
  close();
}

void
tcp_state_reader::open(int descriptor)
{
  close();
  descriptor_ = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
}

void
tcp_state_reader::close()
{
  if (descriptor_ >= 0) {
    ::close(descriptor_);
    descriptor_ = -1;
  }
}

bool
tcp_state_reader::has_orderly_end() const
{
  // CLOSE_WAIT: the peer has closed its side and this side is still open. A reset leads to CLOSE.
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace shallotfield
