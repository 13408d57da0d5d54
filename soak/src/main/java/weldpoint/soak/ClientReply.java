package weldpoint.soak;

/**
 * What a client heard.
 *
 * @param status the status; 0 where no complete answer came
 * @param seal the upstream's seal; empty where the answer bears none
 * @param body the body as text
 */
record ClientReply(int status, String seal, String body) {
  /** No complete answer. */
  static final ClientReply NONE = new ClientReply(0, "", "");
}
