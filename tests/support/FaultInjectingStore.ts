import { StoreUnavailableError } from "../../src/errors/index.js";
import type { Store, StoreRecord, WriteResult } from "../../src/store/index.js";
import type { InjectedStoreFault } from "./InjectedStoreFault.js";

/** Passes calls on to a store and injects a fault at one of them. */
export class FaultInjectingStore implements Store {
    /** Number of calls so far. */
    steps = 0;
    /** Runs at the faulty call; a test makes another change here. */
    onFault: () => Promise<void> = async () => {};
    readonly #store: Store;
    readonly #faultyStep: number;
    readonly #fault: InjectedStoreFault;

    /**
     * @param store - The store that receives the calls.
     * @param faultyStep - The call that fails, counted from 1; 0 for none.
     * @param fault - The fault at this call.
     */
    constructor(store: Store, faultyStep: number, fault: InjectedStoreFault) {
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
