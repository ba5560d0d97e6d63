import type { Clock } from "../time/index.js";

/** The end of a stopping host, at which requests in progress are given up. */
export class HostEnd {
    readonly #clock: Clock;
    #time: number | undefined;
    #hasCome = false;
    readonly #listeners = new Set<() => void>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Sets the end.
     * @param time - Time of the clock, in milliseconds.
     */
    schedule(time: number): void {
        this.#time = time;
        this.#clock.schedule(Math.max(0, time - this.#clock.getTime()), () => {
            this.#hasCome = true;
            this.#listeners.forEach(listener => listener());
        });
    }

    /**
     * Whether work that starts now can be expected to be done before the end.
     * @param usualMs - How long it usually takes, in milliseconds.
     */
    hasTimeFor(usualMs: number): boolean {
        return !this.#hasCome && (this.#time === undefined || this.#clock.getTime() + usualMs <= this.#time);
    }

    /**
     * Waits for the result of work, but not beyond the end.
     * @param work - The work; not cancelled at the end.
     * @param createResult - Creates the result of work that is still in progress at the end.
     * @param closeLate - Closes a result that comes after the end.
     */
    async waitFor<T>(work: Promise<T>, createResult: () => T, closeLate: (result: T) => void): Promise<T> {
        return await new Promise<T>((resolve, reject) => {
            const cancel = (): void => {
                resolve(createResult());
                work.then(closeLate, () => {});
            };
            this.#listeners.add(cancel);
            work.then(resolve, reject).finally(() => this.#listeners.delete(cancel));
        });
    }
}
