package cresschute.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The last things that happened at a site, numbered, in words for people. Old ones make room;
 * whoever reads on from a number is told how many it missed. Pure; its owner is the loop.
 */
public final class EventRing {

    /** Happenings that are kept. */
    public static final int MAX = 1_000;

    /**
     * Something that happened.
     *
     * @param number counts from 1, without gaps
     * @param atUs Unix time
     * @param kind one lower-case word for programs
     * @param worker whom it befell, or null
     */
    public record Happening(long number, long atUs, String kind, String worker, String text) {}

    /** What there is from some number on, and how many before it are not kept any more. */
    public record Read(List<Happening> happenings, long missed) {}

    private final Deque<Happening> kept = new ArrayDeque<>();
    private long last;

    /** Adds a happening under the next number. */
    public void add(long atUs, String kind, String worker, String text) {
        kept.addLast(new Happening(++last, atUs, kind, worker, text));
        if (kept.size() > MAX) {
            kept.pollFirst();
        }
    }

    /** The number of the newest, or 0 before the first. */
    public long last() {
        return last;
    }

    /** What came after a number, oldest first. */
    public Read after(long number) {
        if (number >= last) {
            return new Read(List.of(), 0);
        }
        final List<Happening> read = kept.stream().filter(each -> each.number() > number).toList();
        return new Read(read, Math.max(0, read.get(0).number() - 1 - Math.max(0, number)));
    }
}
