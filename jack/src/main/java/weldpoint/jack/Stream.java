package weldpoint.jack;

import java.util.concurrent.Executor;
import weldpoint.boot.Boot;
import weldpoint.trunk.Line;
import weldpoint.trunk.Message;
import weldpoint.trunk.Trunk;

/**
 * The one line to an exchange that a link wants at the moment; what comes from lines left behind is
 * not heard.
 */
public final class Stream {
  private final Trunk trunk;
  private final Executor desk;
  private final int port;
  private final Runnable ended;
  private BoardLink link;
  private volatile Trunk.Dialler dialler;

  /**
   * A stream without a line; whoever is given is told on the control thread when a line has ended.
   */
  public Stream(final Trunk trunk, final Executor desk, final Boot boot, final Runnable ended) {
    this.trunk = trunk;
    this.desk = desk;
    this.port = boot.trunkPort(0);
    this.ended = ended;
  }

  /** Takes the link that hears what comes. */
  public void link(final BoardLink given) {
    link = given;
  }

  /** Makes this exchange the one there is a line to. */
  public void dial(final String address) {
    if (dialler != null) {
      dialler.close();
    }
    final Trunk.Dialler[] mine = new Trunk.Dialler[1];
    mine[0] =
        trunk.dial(
            address,
            port,
            Trunk.on(
                desk,
                new Trunk.Ear() {
                  @Override
                  public void opened(final Line line) {
                    if (dialler == mine[0]) {
                      link.opened(Switchroom.now());
                    }
                  }

                  @Override
                  public void heard(final Line line, final Message message) {
                    if (dialler == mine[0]) {
                      link.heard(message, Switchroom.now());
                    }
                  }

                  @Override
                  public void closed(final Line line) {
                    if (dialler == mine[0]) {
                      link.closed(Switchroom.now());
                      ended.run();
                    }
                  }
                }));
    dialler = mine[0];
  }

  /** Ends the line for good. */
  public void close() {
    final Trunk.Dialler present = dialler;
    dialler = null;
    if (present != null) {
      present.close();
    }
  }

  /** Sends where there is a line; tells whether there was one. */
  public boolean send(final Message message) {
    final Trunk.Dialler present = dialler;
    return present != null && present.send(message);
  }
}
