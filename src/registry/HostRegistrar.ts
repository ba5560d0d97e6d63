import { Decision } from "../logging/index.js";
import type { Child } from "../supervision/index.js";
import type { HostRegistrarOptions } from "./HostRegistrarOptions.js";

/**
 * How long an entry outlives its last renewal. Hosts find out within seconds which of them is silent; the entry of one that lives has to
 * outlast times in which the registry turns it away.
 */
const ENTRY_MS = 30_000;
const RENEWAL_INTERVAL_MS = 3_000;
const RETRY_MS = 500;
const REMOVAL_TIMEOUT_MS = 1_000;

/** Keeps this host's entry in the registry while the process lives. */
export class HostRegistrar implements Child {
    readonly name = "host-registrar";
    readonly #options: HostRegistrarOptions;
    #controller = new AbortController();
    #pause = new AbortController();
    #isRegistered = false;

    /** @param options - What the registrar works with. */
    constructor(options: HostRegistrarOptions) {
        this.#options = options;
    }

    /** Starts to register; does not wait for the registry. */
    async start(): Promise<void> {
        this.#controller = new AbortController();
        void this.#run(this.#controller.signal);
    }

    /** Removes the entry, so that other hosts know at once; a registry that does not answer is not waited for. */
    async leave(): Promise<void> {
        this.#controller.abort();
        const { clock, registry } = this.#options;
        const timeout = clock.wait(REMOVAL_TIMEOUT_MS);
        const removal = registry.remove().catch(error => this.#record("registry-call-failed", error));
        await Promise.race([removal, timeout]);
    }

    /** Adds the entry again at once, as the registry has ended it. */
    restore(): void {
        this.#isRegistered = false;
        this.#pause.abort();
    }

    /** Stops to renew the entry. */
    async stop(): Promise<void> {
        this.#controller.abort();
    }

    async #run(signal: AbortSignal): Promise<void> {
        const { clock } = this.#options;
        while (!signal.aborted) {
            const pauseMs = await this.#runOnce();
            this.#pause = new AbortController();
            await clock.wait(pauseMs, AbortSignal.any([signal, this.#pause.signal])).catch(() => undefined);
        }
    }

    /** Registers or renews; returns how long to pause, in milliseconds. */
    async #runOnce(): Promise<number> {
        const { registry, self } = this.#options;
        try {
            if (!this.#isRegistered) {
                await registry.add(self, ENTRY_MS);
                this.#isRegistered = true;
                return RENEWAL_INTERVAL_MS;
            }
            this.#isRegistered = await registry.renew();
            return this.#isRegistered ? RENEWAL_INTERVAL_MS : 0;
        }
        catch (error) {
            this.#record("registry-call-failed", error);
            return RETRY_MS;
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
