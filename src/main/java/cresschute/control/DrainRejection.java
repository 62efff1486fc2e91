package cresschute.control;

/**
 * Why a drain operation was rejected, by type: not found, conflict, limit reached, or work that
 * would be left without a worker. Immutable. The message goes to the operator, who may send the
 * operation again with {@link DrainOperation#isForced} where {@link #canBeForced}.
 */
public sealed interface DrainRejection {

    /** The reason in words, which names the worker, operation or limit in question. */
    String message();

    /** Whether the same drain would be applied if it were forced. */
    boolean canBeForced();

    /**
     * Not found: the endpoint list names no such worker.
     *
     * @param worker the id that was given
     */
    record UnknownWorker(String worker) implements DrainRejection {
        @Override
        public String message() {
            return "no worker is called " + worker;
        }

        @Override
        public boolean canBeForced() {
            return true;
        }
    }

    /**
     * Conflict: another operation was completed under this id.
     *
     * @param operationId the id that both carry
     */
    record OperationIdReused(String operationId) implements DrainRejection {
        @Override
        public String message() {
            return "operation \"" + operationId + "\" was sent before with other contents";
        }

        @Override
        public boolean canBeForced() {
            return false;
        }
    }

    /**
     * Limit reached: no further drain can be in force.
     *
     * @param maxDrains drains that can be in force at a time
     */
    record DrainLimitReached(int maxDrains) implements DrainRejection {
        @Override
        public String message() {
            return maxDrains + " drains are in force, the limit; undo one first";
        }

        @Override
        public boolean canBeForced() {
            return false;
        }
    }

    /**
     * Requests of a class would have no worker.
     *
     * @param worker the worker to be drained
     * @param requestClass the class that no other ready worker may run
     */
    record OnlyWorkerOfClass(String worker, String requestClass) implements DrainRejection {
        @Override
        public String message() {
            return worker + " is the last worker that may run " + requestClass;
        }

        @Override
        public boolean canBeForced() {
            return true;
        }
    }

    /**
     * Requests in flight with an idempotency key could not be retried, as a retry stays in the cell
     * of the first attempt.
     *
     * @param worker the worker to be drained
     * @param cell the cell that has no other ready worker
     */
    record OnlyWorkerOfBoundCell(String worker, int cell) implements DrainRejection {
        @Override
        public String message() {
            return worker + " is the last of cell " + cell + ", where keyed jobs are out";
        }

        @Override
        public boolean canBeForced() {
            return true;
        }
    }
}
