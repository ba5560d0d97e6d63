/** What others know of a running attempt: whether its answer has begun, or is overdue. */
export class AttemptWatch {
    #isAnswered = false;
    #isOverdue = false;
    #overdueListener: () => void = () => {};

    /** Whether the head of its answer has arrived. */
    isAnswered(): boolean {
        return this.#isAnswered;
    }

    /** Records that the head of its answer has arrived. */
    recordAnswer(): void {
        this.#isAnswered = true;
    }

    /** Records that its answer is overdue; the attempt continues. */
    recordOverdue(): void {
        if (!this.#isOverdue && !this.#isAnswered) {
            this.#isOverdue = true;
            this.#overdueListener();
        }
    }

    /**
     * Sets what is done once its answer is overdue.
     * @param listener - Called at most once.
     */
    addOverdueListener(listener: () => void): void {
        this.#overdueListener = listener;
    }
}
