import type { Clock } from "../time/index.js";
import type { Child } from "./Child.js";
import type { SupervisedTaskOptions } from "./SupervisedTaskOptions.js";

const FIRST_RESTART_DELAY_MS = 100;
const MAX_RESTART_DELAY_MS = 5000;

/** A long-running task that is restarted with exponential back-off whenever it fails. */
export class SupervisedTask implements Child {
    readonly name: string;
    readonly #clock: Clock;
    readonly #run: (signal: AbortSignal) => Promise<void>;
    readonly #reportFailure: (error: unknown) => void;
    #controller = new AbortController();
    #finished: Promise<void> = Promise.resolve();

    /** @param options - The task and its dependencies. */
    constructor(options: SupervisedTaskOptions) {
        this.name = options.name;
        this.#clock = options.clock;
        this.#run = options.run;
        this.#reportFailure = options.reportFailure;
    }

    /** Starts the task. */
    async start(): Promise<void> {
        this.#controller = new AbortController();
        this.#finished = this.#runUntilStopped(this.#controller.signal);
    }

    /** Aborts the task and waits until it has ended. */
    async stop(): Promise<void> {
        this.#controller.abort(new Error(`${this.name} is stopping.`));
        await this.#finished;
    }

    async #runUntilStopped(signal: AbortSignal): Promise<void> {
        let delayMs = FIRST_RESTART_DELAY_MS;
        while (!signal.aborted) {
            try {
                await this.#run(signal);
                return;
            }
            catch (error) {
                if (signal.aborted) {
                    return;
                }
                this.#reportFailure(error);
            }
            await this.#clock.wait(delayMs, signal).catch(() => {});
            delayMs = Math.min(delayMs * 2, MAX_RESTART_DELAY_MS);
        }
    }
}
