import type { AttemptResult } from "./AttemptResult.js";

/** An attempt that has been started: its end and, perhaps before it, the report that its service host is late. */
export class RunningAttempt {
    readonly #late: Promise<AttemptResult>;
    readonly #end: Promise<AttemptResult>;
    #resolveLate: (result: AttemptResult) => void = () => {};
    #resolveEnd: (result: AttemptResult) => void = () => {};

    /** Creates an attempt without a result. */
    constructor() {
        this.#late = new Promise(resolve => (this.#resolveLate = resolve));
        this.#end = new Promise(resolve => (this.#resolveEnd = resolve));
    }

    /**
     * Records that its service host is late; the attempt continues.
     * @param result - What is known of it by now.
     */
    recordLate(result: AttemptResult): void {
        this.#resolveLate(result);
    }

    /**
     * Records its end.
     * @param result - Its result.
     */
    recordEnd(result: AttemptResult): void {
        this.#resolveEnd(result);
    }

    /** Waits until it has ended, or another attempt may start beside it as its service host is late. */
    async waitForReport(): Promise<AttemptResult> {
        return await Promise.race([this.#late, this.#end]);
    }

    /** Waits until it has ended. */
    async waitForEnd(): Promise<AttemptResult> {
        return await this.#end;
    }
}
