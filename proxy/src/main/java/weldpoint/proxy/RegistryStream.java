package weldpoint.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import weldpoint.common.Settings;
import weldpoint.transport.Connection;
import weldpoint.transport.Message;
import weldpoint.transport.PeerClock;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.Transport;

/**
 * The connection to the registry that a {@link RegistryClient} currently uses, and its parallel
 * connections; messages of abandoned connections are ignored. Callbacks run on the control thread;
 * {@link #send} may be called from any thread.
 */
public final class RegistryStream {
  private static final int MAX_PARALLEL = 3;

  /** A registry reads from a majority every 500 ms; after two missed reads it has lost contact. */
  private static final long MAJORITY_LOST_MILLIS = 1000;

  private final Transport transport;
  private final Executor executor;
  private final int port;
  private final Runnable onClosed;
  private RegistryClient registryClient;
  private volatile Transport.Connector connector;
  private final List<Transport.Connector> parallelConnectors = new ArrayList<>();

  /**
   * A stream without a connection.
   *
   * @param executor runs the callbacks, on the control thread
   * @param onClosed called there when a connection has ended or was replaced
   */
  public RegistryStream(
      final Transport transport,
      final Executor executor,
      final Settings settings,
      final Runnable onClosed) {
    this.transport = transport;
    this.executor = executor;
    this.port = settings.transportPort(0);
    this.onClosed = onClosed;
  }

  /** Sets the client that receives the messages. */
  public void registryClient(final RegistryClient client) {
    registryClient = client;
  }

  /**
   * Opens one more connection, to this registry, in addition to the current one; the oldest of more
   * than three is closed. The first to deliver a view replaces the current one, whose messages are
   * accepted until then.
   */
  public void dialParallel(final String address) {
    if (parallelConnectors.size() >= MAX_PARALLEL) {
      parallelConnectors.remove(0).close();
    }
    parallelConnectors.add(connect(address));
  }

  private void promote(
      final String address, final Transport.Connector winner, final RegistryMessages.View view) {
    final Transport.Connector previous = connector;
    connector = winner;
    parallelConnectors.remove(winner);
    closeParallel();
    if (previous != null) {
      previous.close();
    }
    registryClient.switchTo(address, view, ProxyContext.now());
    onClosed.run();
  }

  /** Closes all parallel connections. */
  public void closeParallel() {
    parallelConnectors.forEach(Transport.Connector::close);
    parallelConnectors.clear();
  }

  /** Connects to this registry in place of the current one. */
  public void dial(final String address) {
    closeParallel();
    if (connector != null) {
      connector.close();
    }
    connector = connect(address);
  }

  /**
   * Opens a connection to this registry; its messages count while it is the current connection or a
   * parallel one.
   */
  private Transport.Connector connect(final String address) {
    final Transport.Connector[] self = new Transport.Connector[1];
    self[0] =
        transport.connectTo(
            address,
            port,
            Transport.dispatchOn(
                executor,
                new Transport.Listener() {
                  @Override
                  public void opened(final Connection connection) {
                    if (parallelConnectors.contains(self[0])) {
                      connection.send(registryClient.firstReport(ProxyContext.now()));
                    } else if (connector == self[0]) {
                      registryClient.streamOpened(ProxyContext.now());
                    }
                  }

                  @Override
                  public void messageReceived(final Connection connection, final Message message) {
                    if (connector == self[0]) {
                      deliver(connection.clock(), message, ProxyContext.now());
                    } else if (parallelConnectors.contains(self[0])
                        && message instanceof RegistryMessages.View) {
                      promote(address, self[0], (RegistryMessages.View) message);
                    }
                  }

                  @Override
                  public void connectionRefused() {
                    registryClient.connectionRefused(address, ProxyContext.now());
                  }

                  @Override
                  public void closed(final Connection connection) {
                    if (connector == self[0]) {
                      registryClient.streamClosed(ProxyContext.now());
                      onClosed.run();
                    }
                  }
                }));
    return self[0];
  }

  /**
   * Passes a message to the client. Ages in a registry's status are counted from when it was sent,
   * not from when it is read, and its proof is converted to the local clock.
   */
  void deliver(final PeerClock clock, final Message message, final long now) {
    if (!(message instanceof RegistryMessages.RegistryStatus)) {
      registryClient.messageReceived(message, now);
      return;
    }
    final RegistryMessages.RegistryStatus status = (RegistryMessages.RegistryStatus) message;
    final Long provedAt =
        status.confirmedClockMillis == null
            ? null
            : clock.localLowerBound(status.confirmedClockMillis, now);
    if (provedAt != null) {
      registryClient.proofReceived(provedAt, now);
    }
    final Long sentAt =
        status.sentClockMillis == null ? null : clock.localLowerBound(status.sentClockMillis, now);
    final long delayMillis = sentAt == null ? 0 : Math.max(0, now - sentAt);
    if (sentAt != null && status.contactAgeMillis >= MAJORITY_LOST_MILLIS) {
      registryClient.majorityLost(status.contactAgeMillis + delayMillis);
    }
    registryClient.messageReceived(status.withDelay(delayMillis), now);
  }

  /** Closes all connections for good. */
  public void close() {
    closeParallel();
    final Transport.Connector current = connector;
    connector = null;
    if (current != null) {
      current.close();
    }
  }

  /**
   * Sends over the current connection if its registry is in one of these regions, or if there are
   * none; false if it was not sent.
   */
  public boolean sendWithin(final Message message, final List<String> regions) {
    final Transport.Connector current = connector;
    return current != null && current.sendWithin(message, regions);
  }

  /** Sends over the current connection; false if there is none or it did not accept the message. */
  public boolean send(final Message message) {
    final Transport.Connector current = connector;
    return current != null && current.send(message);
  }
}
