package weldpoint.audit;

import java.util.List;

/**
 * The entries after a base, oldest first, that are stored together with a register of the state
 * store because they are not yet in the audit logs of a majority of replicas.
 */
public final class AuditTail {
  public final long base;
  public final String baseDigest;
  public final List<byte[]> entries;

  /** Creates a tail with the entries that follow the base. */
  public AuditTail(final long base, final String baseDigest, final List<byte[]> entries) {
    this.base = base;
    this.baseDigest = baseDigest;
    this.entries = entries;
  }
}
