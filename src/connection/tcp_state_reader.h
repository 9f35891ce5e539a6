// Reads the state of a TCP connection whose socket belongs to Qt.
#pragma once

namespace shallotfield {

/**
 * Second descriptor of a TCP connection. QTcpSocket reports a reset as an orderly end, and has
 * closed its own descriptor by then. The peer does not notice that the connection was closed before
 * this descriptor is closed too.
 */
class tcp_state_reader
{
public:
  tcp_state_reader() = default;
  ~tcp_state_reader();
  tcp_state_reader(const tcp_state_reader&) = delete;
  tcp_state_reader& operator=(const tcp_state_reader&) = delete;

  /** Duplicates the descriptor of an established connection. */
  void open(int descriptor);

  /** Closes the duplicate. */
  void close();

  /** Returns whether the peer has closed the connection in an orderly way and has not reset it
   * since. Returns false if the state is not known. */
  bool has_orderly_end() const;

private:
  int descriptor_ = -1; ///< Negative if there is none.
};

} // namespace shallotfield
