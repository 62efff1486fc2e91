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

/**
 * Counts how often a dispatcher accesses one of its workers. It replaces the dispatcher's
 * collections by counting ones.
 */
public final class WorkerVisitCounter {

    private long count;

    private WorkerVisitCounter() {}

    /**
     * Installs counting collections in a dispatcher that has received its endpoint list. All its
     * classes must allow all workers.
     */
    public static WorkerVisitCounter of(Dispatcher dispatcher, int zones) {
        final WorkerVisitCounter visits = new WorkerVisitCounter();
        try {
            final WorkerIndex index =
                    (WorkerIndex) fieldOfType(Dispatcher.class, WorkerIndex.class).get(dispatcher);
            final Field workers = WorkerIndex.class.getDeclaredField("workers");
            workers.setAccessible(true);
            workers.set(index, visits.new CountingMap(workersOf(workers, index)));
            final Field members = WorkerGroup.class.getDeclaredField("members");
            members.setAccessible(true);
            for (int zone = 0; zone < zones; zone++) {
                visits.count(
                        members, index.group(Placement.ANYWHERE, WorkerGroup.Scope.ZONE, zone));
            }
            visits.count(members, index.group(Placement.ANYWHERE, WorkerGroup.Scope.ALL, 0));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
        return visits;
    }

    @SuppressWarnings("unchecked")
    private static Map<Integer, WorkerInstance> workersOf(Field workers, WorkerIndex index)
            throws IllegalAccessException {
        return (Map<Integer, WorkerInstance>) workers.get(index);
    }

    @SuppressWarnings("unchecked")
    private void count(Field members, WorkerGroup group) throws IllegalAccessException {
        members.set(group, new CountingList((List<WorkerInstance>) members.get(group)));
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

    /** Returns the visits since the last call. */
    public long take() {
        final long taken = count;
        count = 0;
        return taken;
    }

    private final class CountingList extends AbstractList<WorkerInstance> implements RandomAccess {

        private final List<WorkerInstance> of;

        CountingList(List<WorkerInstance> of) {
            this.of = of;
        }

        @Override
        public WorkerInstance get(int index) {
            count++;
            return of.get(index);
        }

        @Override
        public int size() {
            return of.size();
        }

        @Override
        public void add(int index, WorkerInstance worker) {
            of.add(index, worker);
        }

        @Override
        public WorkerInstance set(int index, WorkerInstance worker) {
            return of.set(index, worker);
        }

        @Override
        public WorkerInstance remove(int index) {
            return of.remove(index);
        }
    }

    private final class CountingMap extends LinkedHashMap<Integer, WorkerInstance> {

        private static final long serialVersionUID = 1;

        CountingMap(Map<Integer, WorkerInstance> of) {
            super(of);
        }

        @Override
        public WorkerInstance get(Object key) {
            count++;
            return super.get(key);
        }

        @Override
        public Collection<WorkerInstance> values() {
            final Collection<WorkerInstance> of = super.values();
            return new AbstractCollection<>() {
                @Override
                public Iterator<WorkerInstance> iterator() {
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
