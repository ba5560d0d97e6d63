import type { Service, Upstream } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import { ConsecutiveDetector } from "./ConsecutiveDetector.js";
import { EjectionPolicy } from "./EjectionPolicy.js";
import { PooledUpstream } from "./PooledUpstream.js";
import { SequentialDetector } from "./SequentialDetector.js";
import type { UpstreamDetector } from "./UpstreamDetector.js";
import { UpstreamEvent } from "./UpstreamEvent.js";
import type { UpstreamSetOptions } from "./UpstreamSetOptions.js";
import { UpstreamState } from "./UpstreamState.js";

/** In a spell of failures one request in ten may be served, so one answer does not show that the spell is over. */
const PROMPT_TRIALS = 2;

/** The upstreams of a pool as the configuration names them; those that leave are drained. */
export class UpstreamSet {
    readonly #options: UpstreamSetOptions;
    #service: Service | undefined;
    #upstreams: readonly PooledUpstream[] = [];

    /** @param options - What the set is made of. */
    constructor(options: UpstreamSetOptions) {
        this.#options = options;
    }

    /** Gets the upstreams that are configured, draining ones too. */
    getAll(): readonly PooledUpstream[] {
        return this.#upstreams;
    }

    /** Gets the slots that may be used now, free or not. */
    getSlots(): number {
        return this.#upstreams.reduce(
            (sum, upstream) => sum + (upstream.isReservedForLookups() ? 0 : upstream.getLimit()),
            0,
        );
    }

    /** Gets the slots that are free. */
    getFreeSlots(): number {
        return this.#upstreams.reduce(
            (sum, upstream) =>
                sum + (upstream.getState() === UpstreamState.EjectionWithheld ? 0 : getFreeSlots(upstream)),
            0,
        );
    }

    /**
     * Applies a change of the configuration.
     * @param service - The service as configured now.
     * @param upstreams - Its upstreams of this part.
     */
    apply(service: Service, upstreams: readonly Upstream[]): void {
        const isFirst = this.#service === undefined;
        const before = new Map(this.#upstreams.map(pooled => [getIdentity(pooled.getUpstream()), pooled]));
        this.#service = service;
        this.#upstreams = upstreams.map(upstream => {
            const identity = getIdentity(upstream);
            const pooled = before.get(identity) ?? this.#create(upstream, isFirst);
            before.delete(identity);
            this.#applyUpstream(pooled, upstream);
            return pooled;
        });
        before.forEach(pooled => this.#drain(pooled, "it was removed from the configuration"));
    }

    /**
     * Gives a slot back and closes the idle connections of an upstream that has drained.
     * @param pooled - The upstream.
     */
    release(pooled: PooledUpstream): void {
        pooled.release();
        this.#closeDrained(pooled);
    }

    #create(upstream: Upstream, isFirst: boolean): PooledUpstream {
        const isWarm = isFirst || this.#options.policy === EjectionPolicy.Baseline;
        const initial = isWarm ? UpstreamState.Healthy : UpstreamState.Ramping;
        return new PooledUpstream(upstream, initial, this.#createDetector(), {
            clock: this.#options.clock,
            trialsToPass: this.#options.policy === EjectionPolicy.Prompt ? PROMPT_TRIALS : undefined,
        });
    }

    #createDetector(): UpstreamDetector {
        switch (this.#options.policy) {
            case EjectionPolicy.Sequential:
            case EjectionPolicy.Prompt:
                return new SequentialDetector(() => this.#service!.detection);
            case EjectionPolicy.Baseline:
                return new ConsecutiveDetector();
        }
    }

    #applyUpstream(pooled: PooledUpstream, upstream: Upstream): void {
        pooled.apply(upstream);
        if (upstream.draining === true) {
            this.#drain(pooled, "the configuration says that it is leaving");
        }
        else {
            pooled.send(UpstreamEvent.CancelDrain, "the configuration says that it stays");
        }
    }

    #drain(pooled: PooledUpstream, reason: string): void {
        if (!pooled.send(UpstreamEvent.Drain, reason)) {
            return;
        }
        this.#options.decisions.record({
            decision: Decision.Drained,
            reason,
            service: this.#service?.name,
            upstream: pooled.getUpstream().name,
        });
        this.#closeDrained(pooled);
    }

    #closeDrained(pooled: PooledUpstream): void {
        if (pooled.getState() === UpstreamState.Draining && pooled.getRunning() === 0) {
            this.#options.transport.closeIdle(pooled.getUpstream());
        }
    }
}

/** An upstream that has started again, or another one at its address, has nothing in common with the one before. */
function getIdentity(upstream: Upstream): string {
    return `${upstream.address} ${upstream.incarnation ?? ""}`;
}

function getFreeSlots(upstream: PooledUpstream): number {
    return upstream.isReservedForLookups() ? 0 : Math.max(0, upstream.getLimit() - upstream.getRunning());
}
