package weldpoint.review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Plain HTTP/1.1 over sockets: what clients, upstreams and operators need of it. */
final class Http {
  /** An answer; status -1 where none came whole, and why. */
  static final class Answer {
    int status = -1;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    long wanted = -1;
    String problem = "";

    boolean whole() {
      return status >= 0 && problem.isEmpty();
    }

    String header(final String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }
  }

  /** The head of a request or an answer. */
  static final class Head {
    String first;
    final Map<String, String> headers = new LinkedHashMap<>();
  }

  private Http() {}

  static Head head(final InputStream in) throws IOException {
    final Head head = new Head();
    head.first = line(in);
    if (head.first == null) {
      return null;
    }
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      final int colon = line.indexOf(':');
      head.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
    }
    return head;
  }

  private static String line(final InputStream in) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int one = in.read(); ; one = in.read()) {
      if (one < 0) {
        return null;
      }
      if (one == '\n') {
        final String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(one);
    }
  }

  /** The body of a request or answer with a length or in chunks. */
  static byte[] body(final InputStream in, final Head head) throws IOException {
    final ByteArrayOutputStream out = new ByteArrayOutputStream();
    if (head.headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      while (true) {
        final int size = Integer.parseInt(line(in).trim(), 16);
        out.writeBytes(in.readNBytes(size));
        line(in);
        if (size == 0) {
          return out.toByteArray();
        }
      }
    }
    final int length = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
    return in.readNBytes(length);
  }

  static InetSocketAddress address(final String text) {
    final int colon = text.lastIndexOf(':');
    return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  static byte[] request(
      final String to, final String method, final String path, final String headers, final byte[] body) {
    final byte[] head =
        (method + " " + path + " HTTP/1.1\r\n"
                + (headers.toLowerCase().contains("host:") ? "" : "Host: " + to + "\r\n")
                + headers
                + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n")
                + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    final ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head);
    all.writeBytes(body);
    return all.toByteArray();
  }

  /** One call on a connection of its own; headers end with a line break each. */
  static Answer call(
      final String to,
      final String method,
      final String path,
      final String headers,
      final byte[] body,
      final int millis) {
    try (Socket socket = new Socket()) {
      socket.connect(address(to), millis);
      socket.setSoTimeout(millis);
      socket.getOutputStream().write(request(to, method, path, headers, body));
      return read(socket.getInputStream(), method);
    } catch (final IOException problem) {
      final Answer answer = new Answer();
      answer.problem = problem.getClass().getSimpleName() + ": " + problem.getMessage();
      return answer;
    }
  }

  static Answer read(final InputStream raw, final String method) {
    final Answer answer = new Answer();
    try {
      final InputStream in = new BufferedInputStream(raw);
      final Head head = head(in);
      if (head == null) {
        answer.problem = "the connection ended without an answer";
        return answer;
      }
      answer.status = Integer.parseInt(head.first.split(" ")[1]);
      answer.headers.putAll(head.headers);
      answer.wanted = Long.parseLong(head.headers.getOrDefault("content-length", "-1"));
      answer.body = body(in, head);
      if (answer.wanted >= 0 && answer.body.length < answer.wanted) {
        answer.problem = "the connection ended after " + answer.body.length + " of " + answer.wanted + " bytes";
      }
    } catch (final IOException problem) {
      answer.problem = problem.getClass().getSimpleName() + ": " + problem.getMessage();
    }
    return answer;
  }
}
