package cresschute.control;

/**
 * Why a drain operation was rejected, by type: conflict, limit reached, not found, or work that
 * would be left without a worker. A forced drain ({@link DrainOperation#isForced}) is rejected for
 * the first two alone. Immutable; the message goes to the operator.
 */
public sealed interface DrainRejection {

    /** The reason in words, which names the worker, operation or limit in question. */
    String message();

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
    }
}
