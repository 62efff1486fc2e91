package cresschute.scale;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the memory that an object holds: the number and bytes of all objects reachable from it,
 * by the field layout of a 64-bit virtual machine with compressed references. The same graph has
 * the same size in every run.
 */
final class DeepSize {

    private static final int HEADER_BYTES = 12;
    private static final int ARRAY_HEADER_BYTES = 16;
    private static final int REFERENCE_BYTES = 4;
    private static final int ALIGNMENT_BYTES = 8;

    /**
     * The size of a map entry with its share of the table; below, the size of a map or list without
     * entries.
     */
    private static final int MAP_ENTRY_BYTES = 48;

    private static final int COLLECTION_BYTES = 48;

    /** Any other object of the JDK, whose fields are not open to reflection. */
    private static final int LEAF_BYTES = 24;

    private final IdentityHashMap<Object, Boolean> seen = new IdentityHashMap<>();
    private final Deque<Object> pending = new ArrayDeque<>();
    private long objects;
    private long bytes;

    private DeepSize() {}

    /**
     * Measures everything reachable from an object, except the excluded objects and what is
     * reachable only through them.
     */
    static DeepSize of(Object root, Object... excluded) {
        final DeepSize size = new DeepSize();
        for (final Object each : excluded) {
            size.seen.put(each, true);
        }
        size.reach(root);
        while (!size.pending.isEmpty()) {
            size.visit(size.pending.poll());
        }
        return size;
    }

    long objects() {
        return objects;
    }

    long bytes() {
        return bytes;
    }

    private void reach(Object object) {
        if (object != null
                && !(object instanceof Class)
                && !(object instanceof Enum)
                && !(object instanceof Thread)
                && seen.put(object, true) == null) {
            pending.add(object);
        }
    }

    private void visit(Object object) {
        objects++;
        final Class<?> type = object.getClass();
        if (type.isArray()) {
            visitArray(object, type.getComponentType());
        } else if (object instanceof Map<?, ?> map) {
            bytes += COLLECTION_BYTES + (long) MAP_ENTRY_BYTES * map.size();
            map.forEach(
                    (key, value) -> {
                        reach(key);
                        reach(value);
                    });
        } else if (object instanceof Collection<?> collection) {
            final int entry = object instanceof Set ? MAP_ENTRY_BYTES : REFERENCE_BYTES;
            bytes += COLLECTION_BYTES + (long) entry * collection.size();
            collection.forEach(this::reach);
        } else if (object instanceof String text) {
            bytes += LEAF_BYTES + ARRAY_HEADER_BYTES + text.length();
        } else if (type.getName().startsWith("cresschute.")) {
            visitFields(object, type);
        } else {
            bytes += LEAF_BYTES;
        }
    }

    private void visitArray(Object array, Class<?> component) {
        final int length = Array.getLength(array);
        bytes += aligned(ARRAY_HEADER_BYTES + (long) bytesOf(component) * length);
        for (int i = 0; !component.isPrimitive() && i < length; i++) {
            reach(Array.get(array, i));
        }
    }

    private void visitFields(Object object, Class<?> type) {
        long own = HEADER_BYTES;
        for (Class<?> each = type;
                each != null && each != Object.class;
                each = each.getSuperclass()) {
            if (!each.getName().startsWith("cresschute.")) {
                own += LEAF_BYTES;
                break;
            }
            for (final Field field : each.getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers())) {
                    own += bytesOf(field.getType());
                    reachField(object, field);
                }
            }
        }
        bytes += aligned(own);
    }

    private void reachField(Object object, Field field) {
        if (!field.getType().isPrimitive()) {
            try {
                field.setAccessible(true);
                reach(field.get(object));
            } catch (IllegalAccessException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static int bytesOf(Class<?> type) {
        if (!type.isPrimitive()) {
            return REFERENCE_BYTES;
        }
        if (type == long.class || type == double.class) {
            return Long.BYTES;
        }
        if (type == int.class || type == float.class) {
            return Integer.BYTES;
        }
        return type == boolean.class || type == byte.class ? 1 : Short.BYTES;
    }

    private static long aligned(long size) {
        return (size + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES;
    }
}
