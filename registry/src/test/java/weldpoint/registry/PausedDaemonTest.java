package weldpoint.registry;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.transport.Message;
import weldpoint.transport.StoreMessages;

/**
 * A daemon whose process was paused: calls that waited in its sockets for longer than a caller
 * waits are not executed.
 */
public final class PausedDaemonTest {
  private long now;
  private int storeCalls;
  private List<Integer> statuses;
  private RegistryCore core;
  private ControlServer server;

  @BeforeMethod
  public void open() {
    now = 1000;
    storeCalls = 0;
    statuses = new ArrayList<>();
    core =
        new RegistryCore(
            "127.0.0.1",
            List.of("127.0.0.1"),
            true,
            1500,
            new Random(1),
            new RegistryCore.Environment() {
              @Override
              public boolean sendToMember(final String address, final Message message) {
                return false;
              }

              @Override
              public boolean sendToReplica(
                  final String address, final StoreMessages.StoreRequest call) {
                storeCalls++;
                return true;
              }

              @Override
              public void sendToStream(final Object stream, final Message message) {}

              @Override
              public void append(final byte[] record, final Runnable synced) {}

              @Override
              public void updatePeers(final List<String> members) {}
            });
    core.start(List.of(), now);
    final Settings settings =
        Settings.parse(
            "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nlisten.control = 127.0.0.1:81\n");
    server =
        new ControlServer(
            settings,
            core,
            Runnable::run,
            new ControlServer.Clock() {
              @Override
              public long monotonicMillis() {
                return now;
              }

              @Override
              public long wallMillis() {
                return now;
              }
            });
  }

  private void call() {
    server.call(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/api/numbers/n", Unpooled.EMPTY_BUFFER),
        "10.9.9.9",
        new ControlServer.ResponseCallback() {
          @Override
          public boolean isWaiting() {
            return true;
          }

          @Override
          public void respond(final int status, final byte[] body, final String location) {
            statuses.add(status);
          }
        });
  }

  private void tick(final int ticks) {
    for (int count = 0; count < ticks; count++) {
      now += 40;
      server.recordTick();
    }
  }

  @Test
  public void callIsExecutedWhileTheDaemonRuns() {
    tick(5);
    call();
    assertEquals(storeCalls, 1);
    assertEquals(statuses, List.of());
  }

  @Test
  public void callThatWaitedThroughAPauseIsNotExecuted() {
    tick(5);
    now += 2000;
    call();
    assertEquals(storeCalls, 0);
    assertEquals(statuses, List.of(504));
  }

  @Test
  public void callReadAfterTheFirstTickFollowingAPauseIsNotExecuted() {
    tick(5);
    now += 2000;
    server.recordTick();
    call();
    assertEquals(storeCalls, 0);
    assertEquals(statuses, List.of(504));
    tick(2);
    call();
    assertEquals(storeCalls, 1);
  }

  @Test
  public void shortPauseCountsAgainstTheDeadlineOfTheCall() {
    tick(5);
    now += 600;
    call();
    assertEquals(storeCalls, 1);
    now += 300;
    core.tick(now);
    assertEquals(statuses, List.of(504));
  }
}
