package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import weldpoint.transport.CacheMessages.CacheReadResponse;
import weldpoint.transport.Message;
import weldpoint.transport.PermitMessages;

public class CachedCopiesTest {
  private static FullHttpResponse ranged(final String range) {
    final DefaultHttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a/1");
    request.headers().set("Weldpoint-Attempt-Id", "77");
    if (range != null) {
      request.headers().set("Range", range);
    }
    return CachedCopies.response(
        request,
        new CacheReadResponse(
            1,
            200,
            List.of("Weldpoint-Server-Seal", "s", "ETag", "e"),
            "0123456789".getBytes(StandardCharsets.UTF_8)));
  }

  private static void expect(
      final String range, final int status, final String body, final String contentRange) {
    final FullHttpResponse response = ranged(range);
    assertEquals(response.status().code(), status, String.valueOf(range));
    assertEquals(response.content().toString(StandardCharsets.UTF_8), body);
    assertEquals(response.headers().get("Content-Range"), contentRange);
    assertEquals(response.headers().get("Weldpoint-Server-Seal"), "s");
    assertEquals(response.headers().get("Weldpoint-Attempt-Id"), "77");
    assertEquals(response.headers().get("Content-Length"), Integer.toString(body.length()));
  }

  @Test
  public void rangesAreServedFromTheCachedObject() {
    expect(null, 200, "0123456789", null);
    expect("bytes=3-", 206, "3456789", "bytes 3-9/10");
    expect("bytes=3-5", 206, "345", "bytes 3-5/10");
    expect("bytes=3-500", 206, "3456789", "bytes 3-9/10");
    expect("bytes=0-", 200, "0123456789", null);
    assertNull(
        ranged("bytes=10-"),
        "past the end only the origin responds: a 416 of the proxy may not have its server seal");
    expect("bytes=1-2,4-5", 200, "0123456789", null);
    expect("lines=1-2", 200, "0123456789", null);
    expect("bytes=-4", 200, "0123456789", null);
    expect("bytes=x-", 200, "0123456789", null);
  }

  @Test
  public void onlyOneUnambiguousApiKeyIsAccepted() {
    final DefaultHttpHeaders headers = new DefaultHttpHeaders();
    assertNull(CachedCopies.bearerKey(headers));
    headers.add("Authorization", "Bearer k1");
    assertEquals(CachedCopies.bearerKey(headers), "k1");
    headers.add("Authorization", "Bearer k2");
    assertNull(CachedCopies.bearerKey(headers));
    headers.set("Authorization", "Basic k1");
    assertNull(CachedCopies.bearerKey(headers));
    headers.set("Authorization", "Bearer k1, Bearer k2");
    assertNull(CachedCopies.bearerKey(headers));
  }

  @Test
  public void unansweredPermitRequestsAreDenied() {
    final List<Message> sent = new ArrayList<>();
    final List<String> heard = new ArrayList<>();
    final PermitPool permits = new PermitPool(sent::add);
    permits.acquire(
        "tenant/t",
        1,
        (granted, version, confirmedAt) -> heard.add(granted + " " + confirmedAt),
        1000);
    permits.answered(
        new PermitMessages.PermitResponse(
            ((PermitMessages.PermitRequest) sent.get(0)).number, 1, 4, 300));
    assertEquals(heard, List.of("1 700"), "the age of the configuration counts from the request");
    permits.acquire(
        "tenant/t", 1, (granted, version, confirmedAt) -> heard.add("late " + granted), 2000);
    permits.expire(false, 2500);
    assertEquals(heard.size(), 1);
    permits.expire(false, 2800);
    assertEquals(heard.get(1), "late 0");
    permits.answered(
        new PermitMessages.PermitResponse(
            ((PermitMessages.PermitRequest) sent.get(1)).number, 1, 4, 0));
    assertEquals(heard.size(), 2, "each callback is called once");
    new PermitPool(message -> false)
        .acquire(
            "tenant/t", 1, (granted, version, confirmedAt) -> heard.add("no stream " + granted), 1);
    assertEquals(heard.get(2), "no stream 0");
  }

  @Test
  public void silentCacheDaemonIsSkipped() {
    final List<String> asked = new ArrayList<>();
    final List<CacheReadResponse> answers = new ArrayList<>();
    final java.util.Set<String> silent = new java.util.HashSet<>();
    final CacheClient cacheClient =
        new CacheClient(
            new CacheClient.Connections() {
              @Override
              public void keep(final List<String> addresses) {}

              @Override
              public boolean send(final String address, final Message message) {
                asked.add(address);
                return !address.equals("c");
              }

              @Override
              public long silentMillis(final String address) {
                return silent.contains(address) ? 1200 : 10;
              }
            });
    cacheClient.updateDaemons(List.of("a", "b", "c"), 0);
    cacheClient.read("media", "h", "/x", 5000, answers::add, 10);
    final String first = asked.get(asked.size() - 1);
    cacheClient.checkTimeouts(1000);
    assertEquals(
        asked.get(asked.size() - 1),
        first,
        "a daemon with a pending request that is not silent is kept");
    silent.add(first);
    cacheClient.checkTimeouts(1420);
    final String second = asked.get(asked.size() - 1);
    assertEquals(answers.size(), 0);
    assertEquals(
        new java.util.TreeSet<>(List.of(first, second)),
        new java.util.TreeSet<>(List.of("a", "b")));
    cacheClient.responseReceived(second, new CacheReadResponse(1, 200, null, null), 1450);
    assertEquals(answers.get(0).status, 200);
    asked.clear();
    cacheClient.read("media", "h", "/x", 5000, answers::add, 1500);
    assertEquals(asked.get(asked.size() - 1), second, "the silent daemon is suspect for a while");
    cacheClient.closed(second, 1600);
    cacheClient.closed(first, 1700);
    assertEquals(answers.get(1).status, 0, "no daemon is left");
    cacheClient.updateDaemons(List.of("a"), 1900);
    cacheClient.read("media", "h", "/x", 5000, answers::add, 2000);
    assertEquals(
        answers.size(), 2, "daemons that a newly started registry does not list yet are kept");
  }
}
