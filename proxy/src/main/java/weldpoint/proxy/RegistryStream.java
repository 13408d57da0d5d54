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
 * The one line to an exchange that a link wants at the moment; what comes from lines left behind is
 * not heard.
 */
public final class RegistryStream {
  private static final int MOST_BESIDE = 3;

  /** A registry that reads from a majority each half second has lost it after two reads. */
  private static final long MAJORITY_LOST_MILLIS = 1000;

  private final Transport transport;
  private final Executor desk;
  private final int port;
  private final Runnable ended;
  private RegistryClient registry;
  private volatile Transport.Connector connector;
  private final List<Transport.Connector> beside = new ArrayList<>();

  /**
   * A stream without a line; whoever is given is told on the control thread when a line has ended.
   */
  public RegistryStream(
      final Transport transport,
      final Executor desk,
      final Settings settings,
      final Runnable ended) {
    this.transport = transport;
    this.desk = desk;
    this.port = settings.transportPort(0);
    this.ended = ended;
  }

  /** Takes the link that hears what comes. */
  public void registry(final RegistryClient given) {
    registry = given;
  }

  /**
   * Opens one more line, to this exchange, beside the one there is; the oldest of more than three
   * is closed. The first that gives a view takes the place of the one there is, which is heard
   * until then.
   */
  public void approach(final String address) {
    if (beside.size() >= MOST_BESIDE) {
      beside.remove(0).close();
    }
    beside.add(line(address));
  }

  private void arrive(
      final String address, final Transport.Connector winner, final RegistryMessages.View view) {
    final Transport.Connector before = connector;
    connector = winner;
    beside.remove(winner);
    abandonApproach();
    if (before != null) {
      before.close();
    }
    registry.arrived(address, view, ProxyContext.now());
    ended.run();
  }

  /** Closes all lines beside. */
  public void abandonApproach() {
    beside.forEach(Transport.Connector::close);
    beside.clear();
  }

  /** Makes this exchange the one there is a line to. */
  public void dial(final String address) {
    abandonApproach();
    if (connector != null) {
      connector.close();
    }
    connector = line(address);
  }

  /** A line to this exchange, heard while it is the one there is or one beside it. */
  private Transport.Connector line(final String address) {
    final Transport.Connector[] mine = new Transport.Connector[1];
    mine[0] =
        transport.connectTo(
            address,
            port,
            Transport.dispatchOn(
                desk,
                new Transport.Listener() {
                  @Override
                  public void opened(final Connection connection) {
                    if (beside.contains(mine[0])) {
                      connection.send(registry.greeting(ProxyContext.now()));
                    } else if (connector == mine[0]) {
                      registry.opened(ProxyContext.now());
                    }
                  }

                  @Override
                  public void messageReceived(final Connection connection, final Message message) {
                    if (connector == mine[0]) {
                      take(connection.clock(), message, ProxyContext.now());
                    } else if (beside.contains(mine[0])
                        && message instanceof RegistryMessages.View) {
                      arrive(address, mine[0], (RegistryMessages.View) message);
                    }
                  }

                  @Override
                  public void connectionRefused() {
                    registry.refused(address, ProxyContext.now());
                  }

                  @Override
                  public void closed(final Connection connection) {
                    if (connector == mine[0]) {
                      registry.closed(ProxyContext.now());
                      ended.run();
                    }
                  }
                }));
    return mine[0];
  }

  /**
   * Hands a message to the link. Ages in the word of a registry are counted from when it was said,
   * not from when it is read, and its proof becomes a time of the own clock.
   */
  void take(final PeerClock clock, final Message message, final long now) {
    if (!(message instanceof RegistryMessages.RegistryStatus)) {
      registry.heard(message, now);
      return;
    }
    final RegistryMessages.RegistryStatus reach = (RegistryMessages.RegistryStatus) message;
    final Long provedAt =
        reach.confirmedClockMillis == null
            ? null
            : clock.localLowerBound(reach.confirmedClockMillis, now);
    if (provedAt != null) {
      registry.proved(provedAt, now);
    }
    final Long saidAt =
        reach.sentClockMillis == null ? null : clock.localLowerBound(reach.sentClockMillis, now);
    final long delayMillis = saidAt == null ? 0 : Math.max(0, now - saidAt);
    if (saidAt != null && reach.contactAgeMillis >= MAJORITY_LOST_MILLIS) {
      registry.majorityLost(reach.contactAgeMillis + delayMillis);
    }
    registry.heard(reach.withDelay(delayMillis), now);
  }

  /** Ends the line for good. */
  public void close() {
    abandonApproach();
    final Transport.Connector present = connector;
    connector = null;
    if (present != null) {
      present.close();
    }
  }

  /** Sends where there is a line; tells whether there was one. */
  public boolean send(final Message message) {
    final Transport.Connector present = connector;
    return present != null && present.send(message);
  }
}
