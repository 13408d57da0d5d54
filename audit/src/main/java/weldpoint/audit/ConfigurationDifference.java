package weldpoint.audit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldpoint.audit.ConfigurationSummary.Line;
import weldpoint.transport.Protocol;

/**
 * What one configuration changed against the one before it; routes that carry writes come first.
 */
public final class ConfigurationDifference {
  private final List<String> writeLines = new ArrayList<>();
  private final List<String> otherLines = new ArrayList<>();
  private int added;
  private int removed;
  private int changed;

  /** Compares two configurations. */
  public ConfigurationDifference(
      final ConfigurationSummary before, final ConfigurationSummary after) {
    final Map<String, Line> old = new LinkedHashMap<>();
    for (final Line line : Protocol.emptyIfNull(before.lines)) {
      old.put(line.key, line);
    }
    for (final Line line : Protocol.emptyIfNull(after.lines)) {
      final Line was = old.remove(line.key);
      if (was == null) {
        added++;
        note(
            line.writes,
            "+ " + line.key + ": " + String.join(" ", Protocol.emptyIfNull(line.fields)));
      } else {
        final String fields =
            fields(Protocol.emptyIfNull(was.fields), Protocol.emptyIfNull(line.fields));
        if (!fields.isEmpty()) {
          changed++;
          note(line.writes, "~ " + line.key + ": " + fields);
        }
      }
    }
    for (final Line line : old.values()) {
      removed++;
      note(line.writes, "- " + line.key);
    }
  }

  private void note(final boolean writes, final String text) {
    (writes ? writeLines : otherLines).add(text);
  }

  private static String fields(final List<String> before, final List<String> after) {
    final Map<String, String> old = new LinkedHashMap<>();
    for (final String field : before) {
      old.put(name(field), value(field));
    }
    final StringBuilder text = new StringBuilder();
    for (final String field : after) {
      final String was = old.remove(name(field));
      if (!value(field).equals(was)) {
        text.append(text.length() == 0 ? "" : ", ")
            .append(name(field))
            .append(' ')
            .append(was == null ? "unset" : was)
            .append(" -> ")
            .append(value(field));
      }
    }
    old.forEach(
        (name, was) ->
            text.append(text.length() == 0 ? "" : ", ")
                .append(name)
                .append(' ')
                .append(was)
                .append(" -> unset"));
    return text.toString();
  }

  private static String name(final String field) {
    return field.substring(0, field.indexOf('='));
  }

  private static String value(final String field) {
    return field.substring(field.indexOf('=') + 1);
  }

  /** Parts that are new. */
  public int added() {
    return added;
  }

  /** Parts that are gone. */
  public int removed() {
    return removed;
  }

  /** Parts that differ. */
  public int changed() {
    return changed;
  }

  /** How many of them are routes that carry writes. */
  public int writes() {
    return writeLines.size();
  }

  /** The changes as lines, within so many bytes; what does not fit is counted in the last line. */
  public List<String> lines(final int mostBytes) {
    final List<String> all = new ArrayList<>(writeLines);
    all.addAll(otherLines);
    final List<String> lines = new ArrayList<>();
    int used = 0;
    for (int index = 0; index < all.size(); index++) {
      final int bytes = AuditEntry.bytes(all.get(index));
      if (used + bytes > mostBytes) {
        lines.add("and " + (all.size() - index) + " more; read the configuration of this version");
        break;
      }
      used += bytes;
      lines.add(all.get(index));
    }
    return lines;
  }
}
