package weldpoint.transport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Lines kept to a wanted set of addresses: missing ones are dialled, others are closed. */
public final class PeerConnections {
  private final Transport transport;
  private final int port;
  private final Function<String, Transport.Listener> listenerFactory;
  private final Map<String, Transport.Connector> connectors = new HashMap<>();

  /** Lines to this port, each with an ear of its own. */
  public PeerConnections(
      final Transport transport,
      final int port,
      final Function<String, Transport.Listener> listenerFactory) {
    this.transport = transport;
    this.port = port;
    this.listenerFactory = listenerFactory;
  }

  /** Makes these the addresses that lines are kept to. */
  public void updateAddresses(final List<String> addresses) {
    for (final String address : addresses) {
      connectors.computeIfAbsent(
          address, to -> transport.connectTo(to, port, listenerFactory.apply(to)));
    }
    connectors
        .entrySet()
        .removeIf(
            entry -> {
              if (addresses.contains(entry.getKey())) {
                return false;
              }
              entry.getValue().close();
              return true;
            });
  }

  /**
   * For how many milliseconds nothing has come from an address; a large number where there is no
   * line to it.
   */
  public long millisSinceReceived(final String address) {
    final Transport.Connector connector = connectors.get(address);
    final Connection connection = connector == null ? null : connector.connection();
    return connection == null
        ? Long.MAX_VALUE / 2
        : (System.nanoTime() - connection.lastReceivedNanos) / 1_000_000;
  }

  /** Sends to an address what is made for the line of the moment; false where there is none. */
  public boolean send(final String address, final Function<Connection, Message> messageFactory) {
    final Transport.Connector connector = connectors.get(address);
    return connector != null && connector.send(messageFactory);
  }

  /** Sends to an address; false where there is no line to it. */
  public boolean send(final String address, final Message message) {
    final Transport.Connector connector = connectors.get(address);
    return connector != null && connector.send(message);
  }
}
