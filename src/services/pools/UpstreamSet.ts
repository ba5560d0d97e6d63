import type { Service, Upstream } from "../../configuration/index.js";
import { Decision } from "../../logging/index.js";
import { ConsecutiveDetector } from "../detection/ConsecutiveDetector.js";
import { EjectionPolicy } from "../detection/EjectionPolicy.js";
import { SequentialDetector } from "../detection/SequentialDetector.js";
import type { UpstreamDetector } from "../detection/UpstreamDetector.js";
import { UpstreamRateLimiter } from "../queue/UpstreamRateLimiter.js";
import { PooledUpstream } from "./PooledUpstream.js";
import { UpstreamEvent } from "./UpstreamEvent.js";
import type { UpstreamSetOptions } from "./UpstreamSetOptions.js";
import { UpstreamState } from "./UpstreamState.js";

/** During intermittent failures one request in ten may still succeed, so one passed trial does not show a recovery. */
const PROMPT_TRIALS_TO_PASS = 2;

/** The upstreams of a pool as configured; removed ones are drained. */
export class UpstreamSet {
    readonly #options: UpstreamSetOptions;
    #service: Service | undefined;
    #upstreams: readonly PooledUpstream[] = [];

    /** @param options - The dependencies of the set. */
    constructor(options: UpstreamSetOptions) {
        this.#options = options;
    }

    /** Gets the configured upstreams, including draining ones. */
    getAll(): readonly PooledUpstream[] {
        return this.#upstreams;
    }

    /**
     * Gets the slots that may be used now, free or not; a rate limit leaves an upstream a fraction of its slots.
     * @param slotTimeMs - Mean time for which a request uses a slot, in milliseconds.
     */
    getSlots(slotTimeMs: number): number {
        return this.#upstreams.reduce(
            (sum, upstream) => sum + (upstream.isReservedForLookups() ? 0 : getUsableSlots(upstream, slotTimeMs)),
            0,
        );
    }

    /**
     * Gets the slots that may be used now, free or not, without those of upstreams whose ejection is withheld.
     * @param slotTimeMs - Mean time for which a request uses a slot, in milliseconds.
     */
    getSoundSlots(slotTimeMs: number): number {
        return this.#upstreams.reduce(
            (sum, upstream) => sum + (isSound(upstream) ? getUsableSlots(upstream, slotTimeMs) : 0),
            0,
        );
    }

    /** Gets the slots that are free and may be used at once. */
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

    /** Drains the upstreams that have said that they leave. */
    applyNotices(): void {
        this.#upstreams.forEach(pooled => this.#applyUpstream(pooled, pooled.getUpstream()));
    }

    /**
     * Releases a slot and closes the idle connections of an upstream that has drained.
     * @param pooled - The upstream.
     */
    release(pooled: PooledUpstream): void {
        pooled.release();
        this.#closeDrained(pooled);
    }

    #create(upstream: Upstream, isFirst: boolean): PooledUpstream {
        const isWarm = isFirst || this.#options.policy === EjectionPolicy.Baseline;
        const initial = isWarm ? UpstreamState.Healthy : UpstreamState.Ramping;
        const { clock, notices, getRateShare } = this.#options;
        const pooled: PooledUpstream = new PooledUpstream(upstream, initial, this.#createDetector(), {
            clock,
            rateLimiter: new UpstreamRateLimiter({
                clock,
                getRate: () => Math.min(notices.getRequestRate(upstream), this.#getColdRate(pooled)),
                getRemainingMs: () => Number.isFinite(notices.getRequestRate(upstream)) ? Infinity : pooled.getColdMs(),
                getShare: getRateShare,
            }),
            trialsToPass: this.#options.policy === EjectionPolicy.Prompt ? PROMPT_TRIALS_TO_PASS : undefined,
        });
        return pooled;
    }

    #getColdRate(pooled: PooledUpstream): number {
        return pooled.isCold() ? this.#service?.coldRate ?? Infinity : Infinity;
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
        if (upstream.isEvacuated === true) {
            this.#drain(pooled, "its zone is evacuated");
        }
        else if (upstream.draining === true) {
            this.#drain(pooled, "the configuration marks it as draining");
        }
        else if (this.#options.notices.isLeaving(upstream)) {
            this.#drain(pooled, "it says that it leaves");
        }
        else {
            pooled.send(UpstreamEvent.CancelDrain, "the configuration no longer marks it as draining");
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

/** A new incarnation, or another upstream at the same address, starts without the history of the previous one. */
function getIdentity(upstream: Upstream): string {
    return `${upstream.address} ${upstream.incarnation ?? ""}`;
}

function getFreeSlots(upstream: PooledUpstream): number {
    if (upstream.isReservedForLookups() || upstream.getPauseMs() > 0) {
        return 0;
    }
    const free = Math.max(0, upstream.getLimit() - upstream.getRunning());
    return Math.min(free, upstream.rateLimiter.getAllowance());
}

function getUsableSlots(upstream: PooledUpstream, slotTimeMs: number): number {
    return Math.min(upstream.getLimit(), upstream.rateLimiter.getUsableSlots(slotTimeMs));
}

function isSound(upstream: PooledUpstream): boolean {
    return upstream.getState() !== UpstreamState.EjectionWithheld && !upstream.isReservedForLookups();
}
