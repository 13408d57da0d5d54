package weldpoint.audit;

import java.util.List;

/**
 * The entries after the base, oldest first, that travel with a register because they are not yet in
 * the logs of a majority.
 */
public final class AuditTail {
  public final long base;
  public final String baseDigest;
  public final List<byte[]> entries;

  /** A tail behind this base. */
  public AuditTail(final long base, final String baseDigest, final List<byte[]> entries) {
    this.base = base;
    this.baseDigest = baseDigest;
    this.entries = entries;
  }
}
