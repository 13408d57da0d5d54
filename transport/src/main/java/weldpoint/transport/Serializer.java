package weldpoint.transport;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.util.HashMap;
import java.util.Map;

/** Turns messages and stored values into bytes and back, by Protostuff. */
public final class Serializer {
  /** The number of the inner protocol; peers with another one are refused. */
  public static final int PROTOCOL = 1;

  private static final Map<Class<?>, Integer> NUMBERS = new HashMap<>();
  private static final Class<?>[] KINDS = Protocol.KINDS;

  static {
    for (int index = 0; index < KINDS.length; index++) {
      NUMBERS.put(KINDS[index], index);
    }
  }

  private Serializer() {}

  /** The bytes of a value. */
  @SuppressWarnings("unchecked")
  public static <T> byte[] serialize(final T value) {
    return ProtostuffIOUtil.toByteArray(
        value, (Schema<T>) RuntimeSchema.getSchema(value.getClass()), LinkedBuffer.allocate(512));
  }

  /** The value that the bytes hold. */
  public static <T> T deserialize(final byte[] bytes, final Class<T> type) {
    final Schema<T> schema = RuntimeSchema.getSchema(type);
    final T value = schema.newMessage();
    ProtostuffIOUtil.mergeFrom(bytes, value, schema);
    return value;
  }

  /** The number under which a class of messages travels. */
  public static int number(final Message message) {
    return NUMBERS.get(message.getClass());
  }

  /** The class of messages that travels under a number; null where there is none. */
  public static Class<?> kind(final int number) {
    return number < 0 || number >= KINDS.length ? null : KINDS[number];
  }
}
