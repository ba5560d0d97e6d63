interface Disturbance {
    readonly target: string;
    readonly start: number;
    end: number;
    readonly contactMs: number;
}

/** The times in which hosts, links and the store were disturbed, in milliseconds of the monotonic clock. */
export class Disturbances {
    /** Stands for the store. */
    static readonly store = "store";
    /** Stands for all targets. */
    static readonly all = "all";
    readonly #disturbances: Disturbance[] = [];
    readonly #contactMs: number;

    /** @param contactMs - How long a target counts as disturbed afterwards, in milliseconds. */
    constructor(contactMs: number) {
        this.#contactMs = contactMs;
    }

    /**
     * Adds a disturbance that starts now.
     * @param target - The host, upstream, store, or all.
     * @returns Ends it.
     */
    add(target: string): () => void {
        const disturbance = {
            target,
            start: performance.now(),
            end: Number.POSITIVE_INFINITY,
            contactMs: this.#contactMs,
        };
        this.#disturbances.push(disturbance);
        return () => (disturbance.end = Math.min(disturbance.end, performance.now()));
    }

    /**
     * Adds a disturbance that has ended.
     * @param target - The host, upstream, store, or all.
     * @param durationMs - How long it lasted until now, in milliseconds.
     * @param contactMs - How long the target counts as disturbed afterwards, in milliseconds.
     */
    addPast(target: string, durationMs: number, contactMs = this.#contactMs): void {
        const now = performance.now();
        this.#disturbances.push({ target, start: now - durationMs, end: now, contactMs });
    }

    /**
     * Whether targets were undisturbed in a time and long enough before it.
     * @param targets - The targets.
     * @param start - Start of the time.
     * @param end - End of the time.
     */
    isCalm(targets: readonly string[], start: number, end: number): boolean {
        return !this.#disturbances.some(disturbance =>
            (disturbance.target === Disturbances.all || targets.includes(disturbance.target)) &&
            disturbance.start <= end && disturbance.end >= start - disturbance.contactMs
        );
    }
}
