package weldpoint.cache;

import java.util.List;

/**
 * A complete response of an upstream, with the time at which its fetch began (its age counts from
 * then) and the sequence number of the last purge known at that time. Immutable.
 */
final class CachedObject {
  final String key;
  final String service;
  final String host;
  final String target;
  final String hostAndPath;
  final List<String> headers;
  final byte[] body;
  final String etag;
  final List<String> labels;
  final long fetchStartedAt;
  final long purgeSequence;

  CachedObject(
      final String key,
      final String service,
      final String host,
      final String target,
      final String hostAndPath,
      final List<String> headers,
      final byte[] body,
      final String etag,
      final List<String> labels,
      final long fetchStartedAt,
      final long purgeSequence) {
    this.key = key;
    this.service = service;
    this.host = host;
    this.target = target;
    this.hostAndPath = hostAndPath;
    this.headers = headers;
    this.body = body;
    this.etag = etag;
    this.labels = labels;
    this.fetchStartedAt = fetchStartedAt;
    this.purgeSequence = purgeSequence;
  }

  /**
   * Returns this object with a new fetch time and purge sequence, after a revalidation that began
   * at that time found it unchanged.
   */
  CachedObject revalidated(final long revalidationStartedAt, final long knownPurgeSequence) {
    return new CachedObject(
        key,
        service,
        host,
        target,
        hostAndPath,
        headers,
        body,
        etag,
        labels,
        revalidationStartedAt,
        knownPurgeSequence);
  }

  long bytes() {
    return 512 + body.length;
  }
}
