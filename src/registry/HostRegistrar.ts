import { Decision } from "../logging/index.js";
import type { Child } from "../supervision/index.js";
import type { HostRegistrarOptions } from "./HostRegistrarOptions.js";

/**
 * How long an entry stays after its last renewal. The entry of a live host must outlast periods in which the registry
 * refuses its calls; hosts detect a silent host by themselves within seconds.
 */
const ENTRY_DURATION_MS = 30_000;
const RENEWAL_INTERVAL_MS = 3_000;
const RETRY_INTERVAL_MS = 500;
const REMOVAL_TIMEOUT_MS = 1_000;

/** Keeps this host's entry in the registry while the process runs. */
export class HostRegistrar implements Child {
    readonly name = "host-registrar";
    readonly #options: HostRegistrarOptions;
    #controller = new AbortController();
    #waitController = new AbortController();
    #isRegistered = false;

    /** @param options - Dependencies and this host's entry. */
    constructor(options: HostRegistrarOptions) {
        this.#options = options;
    }

    /** Starts to register and to renew the entry; does not wait for the registry. */
    async start(): Promise<void> {
        this.#controller = new AbortController();
        void this.#run(this.#controller.signal);
    }

    /** Removes the entry, so that other hosts notice at once; waits for the registry at most REMOVAL_TIMEOUT_MS. */
    async leave(): Promise<void> {
        this.#controller.abort();
        const { clock, registry } = this.#options;
        const timeout = clock.wait(REMOVAL_TIMEOUT_MS);
        const removal = registry.remove().catch(error => this.#record("registry-call-failed", error));
        await Promise.race([removal, timeout]);
    }

    /** Adds the entry again at once after the registry has dropped it. */
    restore(): void {
        this.#isRegistered = false;
        this.#waitController.abort();
    }

    /** Stops renewing the entry. */
    async stop(): Promise<void> {
        this.#controller.abort();
    }

    async #run(signal: AbortSignal): Promise<void> {
        const { clock } = this.#options;
        while (!signal.aborted) {
            const delayMs = await this.#runOnce();
            this.#waitController = new AbortController();
            await clock.wait(delayMs, AbortSignal.any([signal, this.#waitController.signal])).catch(() => undefined);
        }
    }

    /** Adds or renews the entry; returns the delay until the next call, in milliseconds. */
    async #runOnce(): Promise<number> {
        const { registry, self } = this.#options;
        try {
            if (!this.#isRegistered) {
                await registry.add(self, ENTRY_DURATION_MS);
                this.#isRegistered = true;
                return RENEWAL_INTERVAL_MS;
            }
            this.#isRegistered = await registry.renew();
            return this.#isRegistered ? RENEWAL_INTERVAL_MS : 0;
        }
        catch (error) {
            this.#record("registry-call-failed", error);
            return RETRY_INTERVAL_MS;
        }
    }

    #record(reason: string, error: unknown): void {
        this.#options.decisions.record({
            decision: Decision.DependencyChanged,
            reason,
            member: this.#options.self.id,
            figures: { error: error instanceof Error ? error.message : String(error) },
        });
    }
}
