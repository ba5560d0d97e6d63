import { StoreUnavailableError } from "../../src/errors/index.js";
import type { Store, StoreRecord, WriteResult } from "../../src/store/index.js";
import type { StepFault } from "./StepFault.js";

/** Passes calls on to a store and causes one fault at one call of it. */
export class StepStore implements Store {
    /** Calls so far. */
    steps = 0;
    /** Runs at the faulty call, to let another change in. */
    onFault: () => Promise<void> = async () => {};
    readonly #store: Store;
    readonly #faultyStep: number;
    readonly #fault: StepFault;

    /**
     * @param store - The store behind it.
     * @param faultyStep - The call that fails, counted from 1; 0 for none.
     * @param fault - What goes wrong there.
     */
    constructor(store: Store, faultyStep: number, fault: StepFault) {
        this.#store = store;
        this.#faultyStep = faultyStep;
        this.#fault = fault;
    }

    get(key: string): Promise<StoreRecord | undefined> {
        return this.#run(() => this.#store.get(key));
    }

    compareAndSwap(key: string, value: string, expectedRevision: number): Promise<WriteResult> {
        return this.#run(() => this.#store.compareAndSwap(key, value, expectedRevision));
    }

    remove(key: string, expectedRevision: number): Promise<boolean> {
        return this.#run(() => this.#store.remove(key, expectedRevision));
    }

    watch(key: string, knownRevision: number, waitMs: number): Promise<StoreRecord | undefined> {
        return this.#run(() => this.#store.watch(key, knownRevision, waitMs));
    }

    createLease(durationMs: number): Promise<string> {
        return this.#store.createLease(durationMs);
    }

    renewLease(leaseId: string): Promise<boolean> {
        return this.#store.renewLease(leaseId);
    }

    releaseLease(leaseId: string): Promise<void> {
        return this.#store.releaseLease(leaseId);
    }

    async #run<T>(call: () => Promise<T>): Promise<T> {
        this.steps++;
        const step = this.steps;
        const isLasting = this.#fault === "away" || this.#fault === "crash";
        const isDown = isLasting && this.#faultyStep > 0 && step > this.#faultyStep;
        if (isDown) {
            return await this.#stop();
        }
        if (step !== this.#faultyStep) {
            return await call();
        }
        if (this.#fault === "rival") {
            await this.onFault();
            return await call();
        }
        if (this.#fault !== "away") {
            await call();
        }
        await this.onFault();
        return await this.#stop();
    }

    #stop(): Promise<never> {
        if (this.#fault === "crash") {
            return new Promise(() => {});
        }
        throw new StoreUnavailableError("The store gave no answer.");
    }
}
