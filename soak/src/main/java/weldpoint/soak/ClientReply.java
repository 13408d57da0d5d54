package weldpoint.soak;

/**
 * The response that a client received.
 *
 * @param status HTTP status; 0 if no complete response arrived
 * @param seal value of the header {@code Weldpoint-Server-Seal}, by which the upstream names the
 *     execution that produced the response; empty if the response has none
 * @param body the body as text
 */
record ClientReply(int status, String seal, String body) {
  /** Stands for a request without a complete response. */
  static final ClientReply NONE = new ClientReply(0, "", "");
}
