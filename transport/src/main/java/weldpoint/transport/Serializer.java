package weldpoint.transport;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.util.HashMap;
import java.util.Map;

/** Serializes and deserializes messages and stored values with Protostuff. */
public final class Serializer {
  /** The version of the internal protocol; peers with another version are refused. */
  public static final int PROTOCOL_VERSION = 1;

  private static final Map<Class<?>, Integer> TYPE_NUMBERS = new HashMap<>();
  private static final Class<?>[] MESSAGE_TYPES = Protocol.MESSAGE_TYPES;

  static {
    for (int index = 0; index < MESSAGE_TYPES.length; index++) {
      TYPE_NUMBERS.put(MESSAGE_TYPES[index], index);
    }
  }

  private Serializer() {}

  /** Serializes a value. */
  @SuppressWarnings("unchecked")
  public static <T> byte[] serialize(final T value) {
    return ProtostuffIOUtil.toByteArray(
        value, (Schema<T>) RuntimeSchema.getSchema(value.getClass()), LinkedBuffer.allocate(512));
  }

  /** Deserializes a value of the given class. */
  public static <T> T deserialize(final byte[] bytes, final Class<T> type) {
    final Schema<T> schema = RuntimeSchema.getSchema(type);
    final T value = schema.newMessage();
    ProtostuffIOUtil.mergeFrom(bytes, value, schema);
    return value;
  }

  /** Returns the number that stands for a message's class on the wire. */
  public static int typeNumber(final Message message) {
    return TYPE_NUMBERS.get(message.getClass());
  }

  /** Returns the message class that a number stands for on the wire; null if there is none. */
  public static Class<?> messageType(final int number) {
    return number < 0 || number >= MESSAGE_TYPES.length ? null : MESSAGE_TYPES[number];
  }
}
