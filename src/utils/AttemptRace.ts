import { SupersededError } from "../errors/index.js";

/**
 * Attempts of one request that run side by side: the first good result is the race's, and the other attempts are cancelled. No attempt is
 * given up before that, so starting another one never costs the request the work that is under way.
 */
export class AttemptRace<T> {
    readonly #isGood: (result: T) => boolean;
    readonly #mergeResults: (earlier: T, later: T) => T;
    readonly #closeUnused: (result: T) => void;
    readonly #running = new Set<AbortController>();
    readonly #end: Promise<T>;
    #resolve: (result: T) => void = () => {};
    #failed: { readonly result: T; } | undefined;
    #isDecided = false;

    /**
     * @param isGood - Whether a result ends the race.
     * @param mergeResults - Selects the race's result of two that don't end it, the one that came first and a later one, and releases the
     * other.
     * @param closeUnused - Releases a result that is not the race's.
     */
    constructor(
        isGood: (result: T) => boolean,
        mergeResults: (earlier: T, later: T) => T,
        closeUnused: (result: T) => void,
    ) {
        this.#isGood = isGood;
        this.#mergeResults = mergeResults;
        this.#closeUnused = closeUnused;
        this.#end = new Promise(resolve => (this.#resolve = resolve));
    }

    /**
     * Starts an attempt, unless the race has ended; resolves once its result has been recorded.
     * @param run - Runs the attempt; never rejects. The signal is aborted when another attempt has won.
     */
    async add(run: (signal: AbortSignal) => Promise<T>): Promise<void> {
        if (this.#isDecided) {
            return;
        }
        const controller = new AbortController();
        this.#running.add(controller);
        const result = await run(controller.signal);
        this.#running.delete(controller);
        this.#receive(result);
    }

    /** Whether the race has a result. */
    isDecided(): boolean {
        return this.#isDecided;
    }

    /** Waits for the first good result, or for the merged result of all attempts once none runs any more. */
    wait(): Promise<T> {
        return this.#end;
    }

    #receive(result: T): void {
        if (this.#isDecided) {
            this.#closeUnused(result);
            return;
        }
        if (this.#isGood(result)) {
            if (this.#failed !== undefined) {
                this.#closeUnused(this.#failed.result);
            }
            this.#recordResult(result);
            return;
        }
        const merged = this.#failed === undefined ? result : this.#mergeResults(this.#failed.result, result);
        this.#failed = { result: merged };
        if (this.#running.size === 0) {
            this.#recordResult(merged);
        }
    }

    #recordResult(result: T): void {
        this.#isDecided = true;
        this.#resolve(result);
        this.#running.forEach(controller => controller.abort(new SupersededError("Another attempt has answered.")));
    }
}
