package weldpoint.transport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Connections to a set of addresses: missing ones are opened, superfluous ones are closed. */
public final class PeerConnections {
  private final Transport transport;
  private final int port;
  private final Function<String, Transport.Listener> listenerFactory;
  private final Map<String, Transport.Connector> connectors = new HashMap<>();

  /** Creates connections to a port; the factory makes a listener for each address. */
  public PeerConnections(
      final Transport transport,
      final int port,
      final Function<String, Transport.Listener> listenerFactory) {
    this.transport = transport;
    this.port = port;
    this.listenerFactory = listenerFactory;
  }

  /** Opens and closes connections so that they lead to exactly these addresses. */
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
   * Returns for how many milliseconds nothing has been received from an address; a very large
   * number if there is no connection to it.
   */
  public long millisSinceReceived(final String address) {
    final Transport.Connector connector = connectors.get(address);
    final Connection connection = connector == null ? null : connector.connection();
    return connection == null
        ? Long.MAX_VALUE / 2
        : (System.nanoTime() - connection.lastReceivedNanos) / 1_000_000;
  }

  /** Sends the message made for the current connection to an address; false if there is none. */
  public boolean send(final String address, final Function<Connection, Message> messageFactory) {
    final Transport.Connector connector = connectors.get(address);
    return connector != null && connector.send(messageFactory);
  }

  /** Sends a message to an address; returns false if there is no connection to it. */
  public boolean send(final String address, final Message message) {
    final Transport.Connector connector = connectors.get(address);
    return connector != null && connector.send(message);
  }
}
