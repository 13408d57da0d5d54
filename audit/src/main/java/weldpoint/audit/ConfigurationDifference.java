package weldpoint.audit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldpoint.audit.ConfigurationSummary.Line;
import weldpoint.transport.Protocol;

/**
 * The differences between two configurations, as lines for the audit log. Routes that carry writes
 * come first. The lines are stored in audit entries, so their format must not change.
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
      final Line previous = old.remove(line.key);
      if (previous == null) {
        added++;
        addLine(
            line.carriesWrites,
            "+ " + line.key + ": " + String.join(" ", Protocol.emptyIfNull(line.fields)));
      } else {
        final String fields =
            describeFields(
                Protocol.emptyIfNull(previous.fields), Protocol.emptyIfNull(line.fields));
        if (!fields.isEmpty()) {
          changed++;
          addLine(line.carriesWrites, "~ " + line.key + ": " + fields);
        }
      }
    }
    for (final Line line : old.values()) {
      removed++;
      addLine(line.carriesWrites, "- " + line.key);
    }
  }

  private void addLine(final boolean carriesWrites, final String text) {
    (carriesWrites ? writeLines : otherLines).add(text);
  }

  private static String describeFields(final List<String> before, final List<String> after) {
    final Map<String, String> old = new LinkedHashMap<>();
    for (final String field : before) {
      old.put(name(field), value(field));
    }
    final StringBuilder text = new StringBuilder();
    for (final String field : after) {
      final String previous = old.remove(name(field));
      if (!value(field).equals(previous)) {
        text.append(text.length() == 0 ? "" : ", ")
            .append(name(field))
            .append(' ')
            .append(previous == null ? "unset" : previous)
            .append(" -> ")
            .append(value(field));
      }
    }
    old.forEach(
        (name, previous) ->
            text.append(text.length() == 0 ? "" : ", ")
                .append(name)
                .append(' ')
                .append(previous)
                .append(" -> unset"));
    return text.toString();
  }

  private static String name(final String field) {
    return field.substring(0, field.indexOf('='));
  }

  private static String value(final String field) {
    return field.substring(field.indexOf('=') + 1);
  }

  /** The number of routes, services and other parts that were added. */
  public int added() {
    return added;
  }

  /** The number of parts that were removed. */
  public int removed() {
    return removed;
  }

  /** The number of parts of which a field changed. */
  public int changed() {
    return changed;
  }

  /** How many of the added, removed and changed parts are routes that carry writes. */
  public int changedWriteRoutes() {
    return writeLines.size();
  }

  /**
   * The changes as lines of at most so many bytes in total. If not all of them fit, one more line
   * gives the number of lines omitted.
   */
  public List<String> lines(final int maxBytes) {
    final List<String> all = new ArrayList<>(writeLines);
    all.addAll(otherLines);
    final List<String> lines = new ArrayList<>();
    int used = 0;
    for (int index = 0; index < all.size(); index++) {
      final int bytes = AuditEntry.encodedSize(all.get(index));
      if (used + bytes > maxBytes) {
        lines.add("and " + (all.size() - index) + " more; read the configuration of this version");
        break;
      }
      used += bytes;
      lines.add(all.get(index));
    }
    return lines;
  }
}
