import { Decision } from "../logging/index.js";
import type { StoreRecoveryOptions } from "./StoreRecoveryOptions.js";

/** The hosts write their entries again spread over this time, in milliseconds. */
const SPREAD_MS = 500;
/** Time until the items of the new epoch are applied, in milliseconds: operators may also have written the document again by then. */
const APPLY_MS = 50;
/** Pause after a failed call to the store, in milliseconds. */
const RETRY_MS = 500;
const MAX_ATTEMPTS = 20;

/** Writes what the fleet keeps in the store again, after the store has returned from an older copy. */
export class StoreRecovery {
    readonly #options: StoreRecoveryOptions;
    #controller = new AbortController();

    /** @param options - The dependencies. */
    constructor(options: StoreRecoveryOptions) {
        this.#options = options;
    }

    /**
     * Starts to write what is missing; ends a recovery that is still running.
     * @param epoch - The store's new epoch.
     */
    start(epoch: number): void {
        const { decisions, self } = this.#options;
        decisions.record({
            decision: Decision.DependencyChanged,
            reason: "store-restored-from-copy",
            member: self.id,
            figures: { epoch },
        });
        this.#controller.abort();
        this.#controller = new AbortController();
        void this.#runEntry(this.#controller.signal);
        if (this.#options.isWatching()) {
            void this.#runShared(this.#controller.signal);
        }
    }

    /** Stops. */
    stop(): void {
        this.#controller.abort();
    }

    async #runEntry(signal: AbortSignal): Promise<void> {
        const { clock, random, onEntryLost } = this.#options;
        await clock.wait(random.getNext() * SPREAD_MS, signal).catch(() => undefined);
        if (!signal.aborted) {
            onEntryLost();
        }
    }

    async #runShared(signal: AbortSignal): Promise<void> {
        const { clock, findLostDocument, restorer } = this.#options;
        await clock.wait(APPLY_MS, signal).catch(() => undefined);
        for (let attempt = 0; attempt < MAX_ATTEMPTS && !signal.aborted; attempt++) {
            try {
                const document = findLostDocument();
                if (document !== undefined) {
                    await restorer.restoreDocument(document);
                }
                await restorer.restoreSecret();
                return;
            }
            catch (error) {
                this.#record(error);
                await clock.wait(RETRY_MS, signal).catch(() => undefined);
            }
        }
    }

    #record(error: unknown): void {
        const { decisions, self } = this.#options;
        decisions.record({
            decision: Decision.DependencyChanged,
            reason: "store-not-restored",
            member: self.id,
            figures: { error: error instanceof Error ? error.message : String(error) },
        });
    }
}
