import { OutcomeKind } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";
import type { OrderHolder } from "./OrderHolder.js";
import type { OrderIdentity } from "./OrderIdentity.js";

/** The record of one order and its outcome. It is created before the order is dispatched. */
export class OrderRecord {
    readonly account: string | undefined;
    readonly key: string;
    /** Digest of account, method, path and body. */
    readonly fingerprint: string;
    /** The only incarnation that may dispatch the order. */
    readonly holder: OrderHolder;
    /** Id of this host's claim of a plain key in the store. */
    readonly claimId: string | undefined;
    #time: number;
    #outcome: EncodedOutcome | undefined;
    #waiters: ((outcome: EncodedOutcome) => void)[] | undefined = [];

    /**
     * @param identity - The order's identity.
     * @param time - The order's start, in milliseconds of the clock.
     */
    constructor(identity: OrderIdentity, time: number) {
        this.account = identity.account;
        this.key = identity.key;
        this.fingerprint = identity.fingerprint;
        this.holder = identity.holder;
        this.claimId = identity.claimId;
        this.#time = time;
    }

    /** Gets when the order was last started or finished, in milliseconds of the clock. */
    getTime(): number {
        return this.#time;
    }

    /** Gets the outcome; undefined while the order runs. */
    getOutcome(): EncodedOutcome | undefined {
        return this.#outcome;
    }

    /** Waits for the outcome. */
    waitForOutcome(): Promise<EncodedOutcome> {
        if (this.#outcome !== undefined) {
            return Promise.resolve(this.#outcome);
        }
        return new Promise(resolve => this.#waiters?.push(resolve));
    }

    /**
     * Restarts an order that did not run.
     * @param time - The time, in milliseconds of the clock.
     */
    startAgain(time: number): void {
        this.#outcome = undefined;
        this.#waiters = [];
        this.#time = time;
    }

    /**
     * Records the outcome and passes it to those who wait for it.
     * @param outcome - The outcome.
     * @param time - The time, in milliseconds of the clock.
     */
    recordOutcome(outcome: EncodedOutcome, time: number): void {
        this.#outcome = outcome;
        this.#time = time;
        const waiting = this.#waiters ?? [];
        this.#waiters = undefined;
        for (const resolve of waiting) {
            resolve(outcome);
        }
    }

    /** Gets the size of the stored body, in bytes of base64 text. */
    getBodyBytes(): number {
        return this.#outcome?.kind === OutcomeKind.Done ? this.#outcome.body?.length ?? 0 : 0;
    }

    /** Removes the stored body but keeps the rest of the outcome. */
    removeBody(): void {
        if (this.#outcome?.kind === OutcomeKind.Done) {
            this.#outcome = { ...this.#outcome, body: undefined };
        }
    }
}
