import { EjectionPolicy } from "./EjectionPolicy.js";
import type { PooledUpstream } from "./PooledUpstream.js";
import type { ServiceRequest } from "./ServiceRequest.js";
import { UpstreamState } from "./UpstreamState.js";

/** Load that is added to a convicted upstream's, so that it gets work last. */
const HELD_LOAD = 1;
/** A convicted upstream without work for this long is tried by the next lookup, in milliseconds. */
const HELD_LOOKUP_TRIAL_MS = 600;
/** The same for orders, which a failed trial loses. */
const HELD_ORDER_TRIAL_MS = 3_000;

/** Selects the upstream for a request among those with a free slot. */
export class UpstreamSelector {
    readonly #policy: EjectionPolicy;
    readonly #hasSpareRetry: () => boolean;
    #upstreams: readonly PooledUpstream[] = [];
    #next = 0;

    /**
     * @param policy - How to choose.
     * @param hasSpareRetry - Whether a lookup whose trial fails can be sent again.
     */
    constructor(policy: EjectionPolicy, hasSpareRetry: () => boolean) {
        this.#policy = policy;
        this.#hasSpareRetry = hasSpareRetry;
    }

    /**
     * Applies a new set of upstreams.
     * @param upstreams - The upstreams of this part.
     */
    apply(upstreams: readonly PooledUpstream[]): void {
        this.#upstreams = upstreams;
    }

    /** Whether any upstream has a free slot for any request. */
    hasFreeSlot(): boolean {
        return this.#getUsable().some(upstream => upstream.hasFreeSlot() && !upstream.isReservedForLookups());
    }

    /**
     * Whether an upstream that only lookups try has a free slot for a request.
     * @param request - The request.
     */
    hasTrial(request: ServiceRequest): boolean {
        return this.#upstreams.some(upstream =>
            upstream.isReservedForLookups() && upstream.hasFreeSlot() && this.#isCandidate(upstream, request)
        );
    }

    /**
     * Whether any upstream may run a request, now or once a slot is free.
     * @param request - The request.
     */
    hasCandidate(request: ServiceRequest): boolean {
        return this.#upstreams.some(upstream => this.#isCandidate(upstream, request));
    }

    /**
     * Selects an upstream with a free slot; undefined if none has one for this request.
     * @param request - The request.
     */
    select(request: ServiceRequest): PooledUpstream | undefined {
        const free = this.#getUsable().filter(upstream => upstream.hasFreeSlot() && !isExcluded(upstream, request));
        switch (this.#policy) {
            case EjectionPolicy.Sequential:
            case EjectionPolicy.Prompt:
                return this.#selectLeastLoaded(free, request);
            case EjectionPolicy.Baseline:
                return this.#selectNext(free);
        }
    }

    #selectLeastLoaded(free: readonly PooledUpstream[], request: ServiceRequest): PooledUpstream | undefined {
        const trials = this.#upstreams.filter(upstream =>
            upstream.hasFreeSlot() && this.#isTrialDue(upstream, request)
        );
        if (trials.length > 0) {
            return trials.sort((left, right) => right.getIdleTime() - left.getIdleTime())[0];
        }
        let best: PooledUpstream | undefined;
        for (const upstream of free) {
            const isTrial = upstream.getState() === UpstreamState.Probation;
            if (!isTrial && (best === undefined || compareLoad(upstream, best) < 0)) {
                best = upstream;
            }
        }
        return best;
    }

    #isTrialDue(upstream: PooledUpstream, request: ServiceRequest): boolean {
        switch (upstream.getState()) {
            case UpstreamState.Probation:
                return this.#isCandidate(upstream, request);
            case UpstreamState.EjectionWithheld:
                return this.#isHeldTrialDue(upstream, request);
            case UpstreamState.Healthy:
            case UpstreamState.Suspected:
            case UpstreamState.Ramping:
            case UpstreamState.Ejected:
            case UpstreamState.Draining:
                return false;
        }
    }

    /** A convicted upstream gets no work beside others, so that only a trial shows that it has recovered. */
    #isHeldTrialDue(upstream: PooledUpstream, request: ServiceRequest): boolean {
        const gapMs = request.isIdempotent ? HELD_LOOKUP_TRIAL_MS : HELD_ORDER_TRIAL_MS;
        const isDue = upstream.getIdleTime() >= gapMs || upstream.isOrderTrialDue();
        return this.#policy === EjectionPolicy.Prompt && isDue && this.#isTrialRequest(upstream, request);
    }

    #isCandidate(upstream: PooledUpstream, request: ServiceRequest): boolean {
        const isTrial = upstream.getState() === UpstreamState.Probation;
        return !isExcluded(upstream, request) &&
            (upstream.isInService() || (isTrial && this.#isTrialRequest(upstream, request)));
    }

    /**
     * A repeated request has failed once already and should not be a trial again. A lookup is one if it can be sent again, or
     * if the floor needs the trial: a service may have lookups only.
     */
    #isTrialRequest(upstream: PooledUpstream, request: ServiceRequest): boolean {
        if (request.sentBefore > 0) {
            return false;
        }
        return request.isIdempotent
            ? this.#policy !== EjectionPolicy.Prompt || this.#hasSpareRetry() || upstream.isFloorTrialDue()
            : this.#policy === EjectionPolicy.Prompt && !upstream.isReservedForLookups();
    }

    /** Where ejections are prompt, a convicted upstream gets no overflow: it fails it faster than others answer. */
    #getUsable(): readonly PooledUpstream[] {
        if (this.#policy !== EjectionPolicy.Prompt) {
            return this.#upstreams;
        }
        const isHeld = (upstream: PooledUpstream): boolean => upstream.getState() === UpstreamState.EjectionWithheld;
        const hasOthers = this.#upstreams.some(upstream => upstream.isInService() && !isHeld(upstream));
        return hasOthers ? this.#upstreams.filter(upstream => !isHeld(upstream)) : this.#upstreams;
    }

    #selectNext(free: readonly PooledUpstream[]): PooledUpstream | undefined {
        if (free.length === 0) {
            return undefined;
        }
        for (let step = 0; step < this.#upstreams.length; step++) {
            const upstream = this.#upstreams[this.#next++ % this.#upstreams.length]!;
            if (free.includes(upstream)) {
                return upstream;
            }
        }
        return undefined;
    }
}

function isExcluded(upstream: PooledUpstream, request: ServiceRequest): boolean {
    return request.excludedUpstreams.includes(upstream.getUpstream().name);
}

/** Of two with equal load the one that has waited longest for work comes first. */
function compareLoad(left: PooledUpstream, right: PooledUpstream): number {
    const difference = getLoad(left) - getLoad(right);
    return difference !== 0 ? difference : left.getLastClaimTime() - right.getLastClaimTime();
}

function getLoad(upstream: PooledUpstream): number {
    const load = upstream.getRunning() / upstream.getLimit();
    return upstream.getState() === UpstreamState.EjectionWithheld ? load + HELD_LOAD : load;
}
