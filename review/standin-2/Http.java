import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A plain HTTP/1.1 client on sockets. */
final class Http {
  private Http() {}

  /** An answer; status 0 if the connection ended without one, -1 if there was none in time. */
  static final class Reply {
    final int status;
    final Map<String, String> headers;
    final byte[] body;
    final String end;

    Reply(int status, Map<String, String> headers, byte[] body, String end) {
      this.status = status;
      this.headers = headers;
      this.body = body;
      this.end = end;
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
      return status > 0 ? status + " " + (body.length > 200 ? body.length + " bytes" : text()) : end;
    }
  }

  /** A connection that is kept for many requests. */
  static final class Connection implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Connection(String address) throws IOException {
      final int colon = address.lastIndexOf(':');
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1000);
      in = new java.io.BufferedInputStream(socket.getInputStream(), 16 << 10);
      out = socket.getOutputStream();
    }

    void send(String method, String path, Map<String, String> headers, byte[] body)
        throws IOException {
      final StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      if (body.length > 0 || !method.equals("GET")) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      head.append("\r\n");
      final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      bytes.writeBytes(body);
      out.write(bytes.toByteArray());
      out.flush();
    }

    Reply receive(int timeoutMillis) {
      try {
        socket.setSoTimeout(Math.max(1, timeoutMillis));
        final String status = readLine(in);
        if (status == null) {
          return new Reply(0, Map.of(), new byte[0], "connection closed without an answer");
        }
        final Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
          if (line == null) {
            return new Reply(0, Map.of(), new byte[0], "connection closed inside an answer's head");
          }
          if (line.isEmpty()) {
            break;
          }
          final int colon = line.indexOf(':');
          headers.put(
              line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        final int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        final byte[] body = in.readNBytes(length);
        if (body.length < length) {
          return new Reply(0, headers, body, "connection closed inside an answer's body");
        }
        return new Reply(Integer.parseInt(status.split(" ")[1]), headers, body, "");
      } catch (final SocketTimeoutException e) {
        return new Reply(-1, Map.of(), new byte[0], "no answer in time");
      } catch (final IOException e) {
        return new Reply(0, Map.of(), new byte[0], "connection ended: " + e.getMessage());
      }
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (final IOException e) {
        // closed already
      }
    }
  }

  static String readLine(InputStream in) throws IOException {
    final ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(next);
    }
    return null;
  }

  static Reply call(
      String address,
      String method,
      String path,
      Map<String, String> headers,
      String body,
      int timeoutMillis) {
    final Map<String, String> all = new LinkedHashMap<>();
    all.put("Host", address);
    all.putAll(headers);
    try (Connection connection = new Connection(address)) {
      connection.send(method, path, all, body.getBytes(StandardCharsets.UTF_8));
      return connection.receive(timeoutMillis);
    } catch (final IOException e) {
      return new Reply(0, Map.of(), new byte[0], "no connection: " + e.getMessage());
    }
  }
}
