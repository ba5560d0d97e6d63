import type { Child } from "./Child.js";

/** Starts its children in order and stops them in reverse order; may itself be the child of another supervisor. */
export class Supervisor implements Child {
    readonly name: string;
    readonly #children: readonly Child[];
    readonly #started: Child[] = [];

    /**
     * @param name - The supervisor's name.
     * @param children - Its children, in start order.
     */
    constructor(name: string, children: readonly Child[]) {
        this.name = name;
        this.#children = children;
    }

    /** Starts the children; if one fails to start, stops those already started and rejects. */
    async start(): Promise<void> {
        for (const child of this.#children) {
            try {
                await child.start();
            }
            catch (error) {
                await this.stop();
                throw error;
            }
            this.#started.push(child);
        }
    }

    /** Stops the started children in reverse order; a failure does not prevent the others from being stopped. */
    async stop(): Promise<void> {
        const errors: unknown[] = [];
        for (let child = this.#started.pop(); child !== undefined; child = this.#started.pop()) {
            await child.stop().catch(error => errors.push(error));
        }
        if (errors.length > 0) {
            throw new AggregateError(errors, `Some children of ${this.name} did not stop.`);
        }
    }
}
