package weldpoint.cache;

import java.util.List;

/**
 * A whole object as an upstream gave it, with the time at which its fetch began and the purges
 * known then.
 */
final class CachedObject {
  final String key;
  final String service;
  final String host;
  final String target;
  final String place;
  final List<String> headers;
  final byte[] body;
  final String etag;
  final List<String> labels;
  final long startedAt;
  final long mark;

  CachedObject(
      final String key,
      final String service,
      final String host,
      final String target,
      final String place,
      final List<String> headers,
      final byte[] body,
      final String etag,
      final List<String> labels,
      final long startedAt,
      final long mark) {
    this.key = key;
    this.service = service;
    this.host = host;
    this.target = target;
    this.place = place;
    this.headers = headers;
    this.body = body;
    this.etag = etag;
    this.labels = labels;
    this.startedAt = startedAt;
    this.mark = mark;
  }

  /** The same object, found unchanged by a question that began then. */
  CachedObject renewed(final long asOf, final long known) {
    return new CachedObject(
        key, service, host, target, place, headers, body, etag, labels, asOf, known);
  }

  long bytes() {
    return 512 + body.length;
  }
}
