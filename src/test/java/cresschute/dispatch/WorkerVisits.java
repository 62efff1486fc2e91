package cresschute.dispatch;

import java.lang.reflect.Field;
import java.util.AbstractCollection;
import java.util.AbstractList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.RandomAccess;

/** Counts how often a module looks at one of its workers, by instrumented collections in their place. */
public final class WorkerVisits {

    private long count;

    private WorkerVisits() {}

    /** Puts counting collections into a module that has its list; its classes may go anywhere. */
    public static WorkerVisits of(Logic module, int zones) {
        final WorkerVisits visits = new WorkerVisits();
        try {
            final Fleet fleet = (Fleet) fieldOfType(Logic.class, Fleet.class).get(module);
            final Field nodes = Fleet.class.getDeclaredField("nodes");
            nodes.setAccessible(true);
            nodes.set(fleet, visits.new CountingMap(fleet.nodes));
            final Field members = Pool.class.getDeclaredField("members");
            members.setAccessible(true);
            for (int zone = 0; zone < zones; zone++) {
                final Pool pool = fleet.pool(Placement.ANYWHERE, Pool.ZONE, zone);
                members.set(pool, visits.new CountingList(pool.members));
            }
            final Pool all = fleet.pool(Placement.ANYWHERE, Pool.ALL, 0);
            members.set(all, visits.new CountingList(all.members));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
        return visits;
    }

    private static Field fieldOfType(Class<?> owner, Class<?> type) {
        for (final Field field : owner.getDeclaredFields()) {
            if (field.getType() == type) {
                field.setAccessible(true);
                return field;
            }
        }
        throw new IllegalStateException(owner + " has no field of " + type);
    }

    /** Visits since the last call. */
    public long take() {
        final long taken = count;
        count = 0;
        return taken;
    }

    private final class CountingList extends AbstractList<Node> implements RandomAccess {

        private final List<Node> of;

        CountingList(List<Node> of) {
            this.of = of;
        }

        @Override
        public Node get(int index) {
            count++;
            return of.get(index);
        }

        @Override
        public int size() {
            return of.size();
        }

        @Override
        public void add(int index, Node node) {
            of.add(index, node);
        }

        @Override
        public Node set(int index, Node node) {
            return of.set(index, node);
        }

        @Override
        public Node remove(int index) {
            return of.remove(index);
        }
    }

    private final class CountingMap extends LinkedHashMap<Integer, Node> {

        private static final long serialVersionUID = 1;

        CountingMap(Map<Integer, Node> of) {
            super(of);
        }

        @Override
        public Node get(Object key) {
            count++;
            return super.get(key);
        }

        @Override
        public Collection<Node> values() {
            final Collection<Node> of = super.values();
            return new AbstractCollection<>() {
                @Override
                public Iterator<Node> iterator() {
                    return counted(of.iterator());
                }

                @Override
                public int size() {
                    return of.size();
                }
            };
        }
    }

    private <T> Iterator<T> counted(Iterator<T> of) {
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return of.hasNext();
            }

            @Override
            public T next() {
                count++;
                return of.next();
            }

            @Override
            public void remove() {
                of.remove();
            }
        };
    }
}
