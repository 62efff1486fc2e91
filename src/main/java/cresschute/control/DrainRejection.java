package cresschute.control;

/**
 * Why a drain operation was rejected: conflict, limit reached, worker not found, or requests left
 * without a worker. A forced drain ({@link DrainOperation#isForced}) is rejected only for the first
 * two. Immutable. The message is sent to the operator.
 */
public sealed interface DrainRejection {

    /** Returns the reason as text, which names the worker, operation or limit concerned. */
    String message();

    /**
     * Not found: the endpoint list names no such worker.
     *
     * @param worker the worker's id in the operation
     */
    record UnknownWorker(String worker) implements DrainRejection {
        @Override
        public String message() {
            return "no worker is called " + worker;
        }
    }

    /**
     * Conflict: an operation with the same id but other contents was completed before.
     *
     * @param operationId the id of both operations
     */
    record OperationIdReused(String operationId) implements DrainRejection {
        @Override
        public String message() {
            return "operation \"" + operationId + "\" was sent before with other contents";
        }
    }

    /**
     * Limit reached: the maximum number of drains is in force.
     *
     * @param maxDrains the maximum number of drains in force
     */
    record DrainLimitReached(int maxDrains) implements DrainRejection {
        @Override
        public String message() {
            return maxDrains + " drains are in force, the limit; undo one first";
        }
    }

    /**
     * The drain would leave a request class without a worker.
     *
     * @param worker the worker to be drained
     * @param requestClass the request class that no other ready worker may run
     */
    record OnlyWorkerOfClass(String worker, String requestClass) implements DrainRejection {
        @Override
        public String message() {
            return worker + " is the last worker that may run " + requestClass;
        }
    }

    /**
     * The drain would prevent retries of requests in flight that carry an idempotency key, because
     * a retry stays in the cell of the first attempt.
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
