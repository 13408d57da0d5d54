package weldpoint.common;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against CONFIG (incident 27): bytes that are no JSON were taken for the value with which
 * they begin.
 */
public final class StrictJsonTest {
  private static final String VALID =
      " {\"a\":[1,-2.5e3,true,false,null,{}],\"b\":{\"c\":\"\\u00e9\\n\u00fc\ud83d\ude00\"},\"\":\"\"} \n";

  @DataProvider
  public Object[][] wholeValues() {
    return new Object[][] {
      {VALID},
      {"{}"},
      {"[]"},
      {"0"},
      {"\"text\""},
      {"null"},
      {"[".repeat(StrictJson.MAX_DEPTH) + "]".repeat(StrictJson.MAX_DEPTH)},
      {"{\"a\":1.7976931348623157e308,\"b\":99999999999999999999}"},
    };
  }

  @Test(dataProvider = "wholeValues")
  public void oneWholeValueIsAccepted(final String text) {
    assertEquals(StrictJson.check(text), text);
    assertEquals(StrictJson.decode(text.getBytes(StandardCharsets.UTF_8)), text);
  }

  @DataProvider
  public Object[][] otherTexts() {
    return new Object[][] {
      {""},
      {" "},
      {"{\"a\":1}}"},
      {"{\"a\":1},\"b\":2}"},
      {"{\"a\":1} {\"b\":2}"},
      {"{\"a\":1 \"b\":2}"},
      {"{\"a\":1,,\"b\":2}"},
      {"{\"a\":1,}"},
      {"{,\"a\":1}"},
      {"[1,]"},
      {"[1 2]"},
      {"{\"a\":1,\"a\":2}"},
      {"{\"a\":{\"b\":1,\"b\":1}}"},
      {"{a:1}"},
      {"{'a':1}"},
      {"{\"a\":01}"},
      {"{\"a\":+1}"},
      {"{\"a\":1.}"},
      {"{\"a\":.5}"},
      {"{\"a\":NaN}"},
      {"{\"a\":Infinity}"},
      {"{\"a\":1e999}"},
      {"{\"a\":tru}"},
      {"{\"a\":1}//end"},
      {"{\"a\":/* 1 */1}"},
      {"{\"a\":\"\n\"}"},
      {"{\"a\":\"\\x\"}"},
      {"{\"a\":\"\\ud800\"}"},
      {"{\"\\udc00\":1}"},
      {"{\"a\":\"b}"},
      {"{\"a\":1"},
      {"\u0000{}"},
      {"{}\u0000"},
      {"[".repeat(StrictJson.MAX_DEPTH + 1) + "]".repeat(StrictJson.MAX_DEPTH + 1)},
    };
  }

  private static WeldpointException rejection(final byte[] body) {
    final WeldpointException problem =
        expectThrows(WeldpointException.class, () -> StrictJson.decode(body));
    assertEquals(problem.kind(), WeldpointException.Kind.UNREADABLE);
    return problem;
  }

  @Test(dataProvider = "otherTexts")
  public void otherTextsAreRejected(final String text) {
    rejection(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  public void malformedUtf8IsRejected() {
    for (final int malformed : new int[] {0x80, 0xc0, 0xe9, 0xf8, 0xff}) {
      rejection(new byte[] {'"', (byte) malformed, '"'});
    }
    rejection("{\"a\":\"b\"}".getBytes(StandardCharsets.UTF_16));
  }

  @Test
  public void rejectionNamesThePlaceOfTheError() {
    final String message =
        rejection("{\"a\":1,\n \"b\" 2}".getBytes(StandardCharsets.UTF_8)).getMessage();
    assertTrue(message.contains("line 2, column 6"), message);
    assertTrue(rejection("{}}".getBytes(StandardCharsets.UTF_8)).getMessage().contains("line 1"));
  }

  /** No prefix of an object is an object; only white space may follow one. */
  @Test
  public void cutAndContinuedTextsAreRejected() {
    final String object = VALID.strip();
    final byte[] bytes = object.getBytes(StandardCharsets.UTF_8);
    for (int length = 0; length < bytes.length; length++) {
      rejection(java.util.Arrays.copyOf(bytes, length));
    }
    for (char next = '!'; next <= '~'; next++) {
      rejection((object + next).getBytes(StandardCharsets.UTF_8));
    }
    StrictJson.check(object + " \t\r\n");
  }
}
