import { OutcomeKind } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";
import type { OrderHolder } from "./OrderHolder.js";
import type { OrderIdentity } from "./OrderIdentity.js";

/** What is known of one order by its key; it exists before the order is dispatched. */
export class OrderRecord {
    readonly account: string;
    readonly key: string;
    /** Digest of what the order asks for. */
    readonly fingerprint: string;
    /** The incarnation under whose name it may be dispatched. */
    readonly holder: OrderHolder;
    /** Names this host's claim of a plain key in the store. */
    readonly claimId: string | undefined;
    #time: number;
    #outcome: EncodedOutcome | undefined;
    #waiting: ((outcome: EncodedOutcome) => void)[] | undefined = [];

    /**
     * @param identity - Which order it is.
     * @param time - The time in milliseconds.
     */
    constructor(identity: OrderIdentity, time: number) {
        this.account = identity.account;
        this.key = identity.key;
        this.fingerprint = identity.fingerprint;
        this.holder = identity.holder;
        this.claimId = identity.claimId;
        this.#time = time;
    }

    /** Gets when the order was started or settled last, in milliseconds. */
    getTime(): number {
        return this.#time;
    }

    /** Gets what came of it; undefined while it runs. */
    getOutcome(): EncodedOutcome | undefined {
        return this.#outcome;
    }

    /** Waits for the outcome. */
    waitForOutcome(): Promise<EncodedOutcome> {
        if (this.#outcome !== undefined) {
            return Promise.resolve(this.#outcome);
        }
        return new Promise(resolve => this.#waiting?.push(resolve));
    }

    /**
     * Starts the order again, after an outcome that proved that it did not run.
     * @param time - The time in milliseconds.
     */
    startAgain(time: number): void {
        this.#outcome = undefined;
        this.#waiting = [];
        this.#time = time;
    }

    /**
     * Settles the order.
     * @param outcome - What came of it.
     * @param time - The time in milliseconds.
     */
    recordOutcome(outcome: EncodedOutcome, time: number): void {
        this.#outcome = outcome;
        this.#time = time;
        const waiting = this.#waiting ?? [];
        this.#waiting = undefined;
        for (const resolve of waiting) {
            resolve(outcome);
        }
    }

    /** Gets the bytes of the kept body. */
    getBodyBytes(): number {
        return this.#outcome?.kind === OutcomeKind.Done ? this.#outcome.body?.length ?? 0 : 0;
    }

    /** Removes the kept body, but not the outcome. */
    removeBody(): void {
        if (this.#outcome?.kind === OutcomeKind.Done) {
            this.#outcome = { ...this.#outcome, body: undefined };
        }
    }
}
