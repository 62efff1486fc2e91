package cresschute.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;

/**
 * Dispatchers that exchange their counts over a network in virtual time, with configurable loss,
 * duplicates, delays and partitions. Runs with the same seed are identical. The true counts are
 * known, so that views can be compared with them.
 */
final class SimulatedNetwork {

    static final long S = 1_000_000;
    static final long START_US = 1_700_000_000L * S;
    private static final long TICK_US = 50_000;
    private static final byte[] KEY = new byte[32];

    /** One dispatcher, its true counts, and the messages and bytes it has sent. */
    static final class Node {
        final String name;
        final LoadMessageCodec codec = new LoadMessageCodec(KEY);
        final int[] trueCounts;
        LoadExchange exchange;
        boolean up = true;
        long bytes;
        long messages;
        final List<Integer> distrusted = new ArrayList<>();

        Node(String name, int workers) {
            this.name = name;
            this.trueCounts = new int[workers];
        }
    }

    private record Datagram(long atUs, long order, int from, int to, byte[] bytes) {}

    final List<Node> nodes = new ArrayList<>();
    final Random random;
    private final int workers;
    private final long bytesPerS;
    private final long refreshUs;
    private final PriorityQueue<Datagram> inTransit =
            new PriorityQueue<>(
                    Comparator.comparingLong(Datagram::atUs).thenComparingLong(Datagram::order));
    private long sent;
    long nowUs = START_US;
    double loss;
    double duplication;
    long delayUs = 1_000;
    long jitterUs;

    /** Whether datagrams from one dispatcher to another arrive. */
    BiPredicate<Integer, Integer> connected = (from, to) -> true;

    /** Starts per second, all dispatchers together. */
    double startsPerS;

    /** Mean duration of an attempt, seconds. */
    double meanRunS = 10;

    private double startsDue;
    private final PriorityQueue<long[]> ends =
            new PriorityQueue<>(Comparator.comparingLong(each -> each[0]));

    SimulatedNetwork(long seed, int dispatchers, int workers, long bytesPerS, long refreshUs) {
        random = new Random(seed);
        this.workers = workers;
        this.bytesPerS = bytesPerS;
        this.refreshUs = refreshUs;
        for (int i = 0; i < dispatchers; i++) {
            nodes.add(new Node("n" + i, workers));
        }
        for (int i = 0; i < dispatchers; i++) {
            restart(i);
        }
    }

    static String worker(int number) {
        return "w-" + number;
    }

    /** Starts a new process of the dispatcher, with nothing in flight. */
    void restart(int node) {
        final Node restarted = nodes.get(node);
        Arrays.fill(restarted.trueCounts, 0);
        ends.removeIf(each -> each[1] == node);
        restarted.up = true;
        restarted.exchange =
                new LoadExchange(
                        new ExchangeSettings(
                                restarted.name, nodes.size() - 1, bytesPerS, refreshUs),
                        nowUs,
                        new ExchangeListener() {
                            @Override
                            public void keyCollision(String worker, String other) {
                                throw new IllegalStateException(worker + " and " + other);
                            }

                            @Override
                            public void distrusted(int sender, long durationUs) {
                                restarted.distrusted.add(sender);
                            }
                        });
        for (int i = 0; i < workers; i++) {
            restarted.exchange.workerListed(worker(i));
        }
    }

    void crash(int node) {
        nodes.get(node).up = false;
    }

    void leave(int node) {
        nodes.get(node).exchange.leave(nowUs).ifPresent(message -> transmit(node, message));
        crash(node);
    }

    void start(int node, int worker) {
        nodes.get(node).trueCounts[worker]++;
        nodes.get(node).exchange.attemptStarted(worker(worker));
    }

    void end(int node, int worker) {
        nodes.get(node).trueCounts[worker]--;
        nodes.get(node).exchange.attemptEnded(worker(worker));
    }

    void run(double seconds) {
        final long untilUs = nowUs + (long) (seconds * S);
        while (nowUs < untilUs) {
            nowUs += TICK_US;
            load();
            deliver();
            for (int i = 0; i < nodes.size(); i++) {
                final Node node = nodes.get(i);
                if (node.up) {
                    final int from = i;
                    final Optional<LoadMessage> message = node.exchange.poll(nowUs);
                    message.ifPresent(each -> transmit(from, each));
                }
            }
        }
    }

    private void load() {
        for (startsDue += startsPerS * TICK_US / S; startsDue >= 1; startsDue--) {
            final int node = random.nextInt(nodes.size());
            if (nodes.get(node).up) {
                final int worker = random.nextInt(workers);
                start(node, worker);
                final double runS = -Math.log(1 - random.nextDouble()) * meanRunS;
                ends.add(new long[] {nowUs + (long) (runS * S), node, worker});
            }
        }
        while (!ends.isEmpty() && ends.peek()[0] <= nowUs) {
            final long[] due = ends.poll();
            if (nodes.get((int) due[1]).up) {
                end((int) due[1], (int) due[2]);
            }
        }
    }

    /** Stops all load; attempts in flight stay in flight. */
    void freeze() {
        startsPerS = 0;
        ends.clear();
    }

    private void transmit(int from, LoadMessage message) {
        final Node node = nodes.get(from);
        final byte[] bytes = node.codec.encode(message);
        assertThat(bytes).hasSizeLessThanOrEqualTo(LoadMessageCodec.MAX_MESSAGE_BYTES);
        node.messages++;
        for (int to = 0; to < nodes.size(); to++) {
            if (to != from) {
                node.bytes += bytes.length + LoadGossiper.HEADER_BYTES;
                send(from, to, bytes);
            }
        }
    }

    private void send(int from, int to, byte[] bytes) {
        for (int duplicates = random.nextDouble() < duplication ? 2 : 1;
                duplicates > 0;
                duplicates--) {
            if (random.nextDouble() >= loss) {
                final long extraUs = jitterUs == 0 ? 0 : (long) (random.nextDouble() * jitterUs);
                inTransit.add(new Datagram(nowUs + delayUs + extraUs, sent++, from, to, bytes));
            }
        }
    }

    private void deliver() {
        while (!inTransit.isEmpty() && inTransit.peek().atUs() <= nowUs) {
            final Datagram datagram = inTransit.poll();
            final Node node = nodes.get(datagram.to());
            if (node.up && connected.test(datagram.from(), datagram.to())) {
                inject(datagram.to(), datagram.bytes());
            }
        }
    }

    /** Delivers bytes to a dispatcher as its socket would; returns whether they were accepted. */
    boolean inject(int to, byte[] bytes) {
        final Node node = nodes.get(to);
        try {
            node.exchange.receive(nowUs, node.codec.decode(bytes));
            return true;
        } catch (RejectedMessageException e) {
            return false;
        }
    }

    boolean isComplete(int node) {
        return nodes.get(node).exchange.peers().isComplete(nowUs);
    }

    PeerState state(int at, int of) {
        return nodes.get(at)
                .exchange
                .peers()
                .states(nowUs)
                .get(WorkerKeys.hash(nodes.get(of).name));
    }

    /**
     * True number of attempts that all other dispatchers that are up have in flight at a worker.
     */
    int trueCountOfOthers(int node, int worker) {
        int sum = 0;
        for (int i = 0; i < nodes.size(); i++) {
            sum += i != node && nodes.get(i).up ? nodes.get(i).trueCounts[worker] : 0;
        }
        return sum;
    }

    int seenCountOfOthers(int node, int worker) {
        return nodes.get(node).exchange.peers().count(nowUs, WorkerKeys.hash(worker(worker)));
    }

    /** Number of workers at which this dispatcher's table differs from the true counts. */
    int wrongCountsAt(int node) {
        int wrong = 0;
        for (int worker = 0; worker < workers; worker++) {
            wrong += seenCountOfOthers(node, worker) == trueCountOfOthers(node, worker) ? 0 : 1;
        }
        return wrong;
    }

    /** Number of workers with wrong counts, summed over all dispatchers that are up. */
    int wrongCounts() {
        int wrong = 0;
        for (int i = 0; i < nodes.size(); i++) {
            wrong += nodes.get(i).up ? wrongCountsAt(i) : 0;
        }
        return wrong;
    }
}
