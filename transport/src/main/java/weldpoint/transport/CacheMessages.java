package weldpoint.transport;

import java.util.List;

/** Purges of cached objects, and reads from the shared cache. */
public final class CacheMessages {
  private CacheMessages() {}

  /** An operator's purge: of one object, by its host and path, or of all objects with a tag. */
  public static final class Purge {
    public final long serial;
    public final String host;
    public final String path;
    public final String tag;

    public Purge(final long serial, final String host, final String path, final String tag) {
      this.serial = serial;
      this.host = host;
      this.path = path;
      this.tag = tag;
    }
  }

  /**
   * All purges after {@code floorSerial} up to {@code lastSerial}, in order. A receiver whose last
   * purge is before {@code floorSerial} has missed some.
   */
  public static final class Purges implements Message {
    public final long floorSerial;
    public final long lastSerial;
    public final List<Purge> purges;

    public Purges(final long floorSerial, final long lastSerial, final List<Purge> purges) {
      this.floorSerial = floorSerial;
      this.lastSerial = lastSerial;
      this.purges = purges;
    }
  }

  /** Asks a cache daemon for an object, waiting at most {@code waitMillis}. */
  public static final class CacheReadRequest implements Message {
    public final long number;
    public final String service;
    public final String host;
    public final String target;
    public final long waitMillis;

    public CacheReadRequest(
        final long number,
        final String service,
        final String host,
        final String target,
        final long waitMillis) {
      this.number = number;
      this.service = service;
      this.host = host;
      this.target = target;
      this.waitMillis = waitMillis;
    }
  }

  /** The object with its headers; status 0 means that the cache cannot supply it now. */
  public static final class CacheReadResponse implements Message {
    public final long number;
    public final int status;
    public final List<String> headers;
    public final byte[] body;

    public CacheReadResponse(
        final long number, final int status, final List<String> headers, final byte[] body) {
      this.number = number;
      this.status = status;
      this.headers = headers;
      this.body = body;
    }
  }
}
