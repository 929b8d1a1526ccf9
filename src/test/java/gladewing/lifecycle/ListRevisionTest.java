package gladewing.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Answers to calls that overlap, in any order. */
class ListRevisionTest {
    private final ListRevision revision = new ListRevision();

    private void assertUse(
            ListRevision.Use expected, ListRevision.Question question, long answer, boolean whole) {
        assertEquals(expected, revision.judge(question, answer, whole));
    }

    private void take(long answer, boolean whole) {
        assertUse(ListRevision.Use.APPLY, revision.nextQuestion(), answer, whole);
    }

    /** Guards against a late list that undoes the one in use. */
    @Test
    void ignoresAnOlderWholeListThatComesLate() {
        ListRevision.Question early = revision.nextQuestion();
        ListRevision.Question late = revision.nextQuestion();
        assertUse(ListRevision.Use.APPLY, late, 12, true);
        assertUse(ListRevision.Use.IGNORE, early, 11, true);
        assertUse(ListRevision.Use.IGNORE, early, 12, true);
        assertUse(ListRevision.Use.APPLY, early, 13, true);
        assertEquals(13, revision.nextQuestion().after());
    }

    /** Changes after an earlier revision are applied, and changes between are asked for again. */
    @Test
    void appliesNewerChangesOfAnEarlierListAndAsksForThoseBetween() {
        take(10, true);
        ListRevision.Question early = revision.nextQuestion();
        ListRevision.Question late = revision.nextQuestion();
        assertUse(ListRevision.Use.APPLY, early, 11, false);
        assertUse(ListRevision.Use.APPLY, late, 14, false);
        assertEquals(11, revision.nextQuestion().after());
        assertUse(ListRevision.Use.IGNORE, late, 13, false);
        take(14, false);
        assertEquals(14, revision.nextQuestion().after());
    }

    /** A service that counts from a lower revision than before is asked for the whole list. */
    @Test
    void asksForTheWholeListAfterChangesOfALowerRevision() {
        take(10, true);
        assertUse(ListRevision.Use.ASK_FOR_WHOLE_LIST, revision.nextQuestion(), 3, false);
        assertEquals(ListRevision.NONE, revision.nextQuestion().after());
        take(3, true);
        assertEquals(3, revision.nextQuestion().after());
    }

    /** A whole list is taken whatever its revision, if its call was made after the last answer. */
    @Test
    void takesAWholeListOfALowerRevision() {
        take(10, true);
        take(2, true);
        assertEquals(2, revision.nextQuestion().after());
    }

    /** Changes after a revision that is no longer in use are of no use. */
    @Test
    void ignoresChangesAfterARevisionThatWasGivenUp() {
        take(10, true);
        ListRevision.Question overlapping = revision.nextQuestion();
        assertUse(ListRevision.Use.ASK_FOR_WHOLE_LIST, revision.nextQuestion(), 3, false);
        assertUse(ListRevision.Use.IGNORE, overlapping, 11, false);
    }
}
