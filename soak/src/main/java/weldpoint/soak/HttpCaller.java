package weldpoint.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** An HTTP/1.1 client that opens a connection for each request and never retries. */
final class HttpCaller {
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  private HttpCaller() {}

  /**
   * Sends one request and returns the response, or {@link ClientReply#NONE} if no complete response
   * arrives in time.
   */
  static ClientReply call(
      final String address,
      final String method,
      final String target,
      final Map<String, String> headers,
      final String body,
      final int timeoutMillis) {
    final int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          CONNECT_TIMEOUT_MILLIS);
      socket.setSoTimeout(timeoutMillis);
      final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      final StringBuilder head = new StringBuilder();
      head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Connection: close\r\nContent-Length: ").append(bytes.length).append("\r\n\r\n");
      socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
      return read(socket.getInputStream());
    } catch (final IOException e) {
      return ClientReply.NONE;
    }
  }

  private static ClientReply read(final InputStream in) throws IOException {
    final String text = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    final int end = text.indexOf("\r\n\r\n");
    if (end < 0 || !text.startsWith("HTTP/1.1 ")) {
      return ClientReply.NONE;
    }
    final String head = text.substring(0, end + 2);
    final String body = text.substring(end + 4);
    final String length = header(head, "content-length");
    if (!length.isEmpty() && Integer.parseInt(length) != body.length()) {
      return ClientReply.NONE;
    }
    return new ClientReply(
        Integer.parseInt(head.substring(9, 12)), header(head, "weldpoint-server-seal"), body);
  }

  private static String header(final String head, final String name) {
    final int at = head.toLowerCase(Locale.ROOT).indexOf("\r\n" + name + ": ");
    if (at < 0) {
      return "";
    }
    final int from = at + name.length() + 4;
    return head.substring(from, head.indexOf('\r', from));
  }
}
