import { EjectionPolicy } from "../detection/EjectionPolicy.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import { UpstreamState } from "../pools/UpstreamState.js";
import type { ServiceRequest } from "../ServiceRequest.js";

/** Added to the load of an upstream whose ejection is withheld, so that it is selected last. */
const WITHHELD_LOAD_PENALTY = 1;
/** An upstream with a withheld ejection gets the next idempotent request as a trial once idle for this long, in milliseconds. */
const WITHHELD_LOOKUP_TRIAL_MS = 600;
/** The same for requests that are not idempotent; longer, as these can't be retried after a failed trial; in milliseconds. */
const WITHHELD_ORDER_TRIAL_MS = 3_000;

/** Selects the upstream for a request among those with a free slot. */
export class UpstreamSelector {
    readonly #policy: EjectionPolicy;
    readonly #hasSpareRetry: () => boolean;
    #upstreams: readonly PooledUpstream[] = [];
    #next = 0;

    /**
     * @param policy - How upstreams are selected.
     * @param hasSpareRetry - Whether the budget has a retry for an idempotent request whose trial fails.
     */
    constructor(policy: EjectionPolicy, hasSpareRetry: () => boolean) {
        this.#policy = policy;
        this.#hasSpareRetry = hasSpareRetry;
    }

    /**
     * Applies a new set of upstreams.
     * @param upstreams - The upstreams of the part.
     */
    apply(upstreams: readonly PooledUpstream[]): void {
        this.#upstreams = upstreams;
    }

    /** Whether any upstream has a free slot that is open to all requests. */
    hasFreeSlot(): boolean {
        return this.#getUsable().some(upstream => upstream.hasFreeSlot() && !upstream.isReservedForLookups());
    }

    /** Gets the least time until an upstream may be sent a request, whether or not a slot is free then, in milliseconds. */
    getPauseMs(): number {
        const pauses = this.#getUsable().filter(upstream => upstream.getLimit() > 0).map(upstream =>
            upstream.getPauseMs()
        );
        return pauses.length === 0 ? 0 : Math.min(...pauses);
    }

    /** Finds the time until the next upstream with a free slot may be sent a request, in milliseconds; undefined if none is paused. */
    findNextPauseMs(): number | undefined {
        const paused = this.#upstreams.filter(upstream =>
            upstream.getRunning() < upstream.getLimit() && upstream.getPauseMs() > 0
        );
        return paused.length === 0 ? undefined : Math.min(...paused.map(upstream => upstream.getPauseMs()));
    }

    /**
     * Whether an upstream on probation, open to idempotent requests only, has a free slot for a request.
     * @param request - The request.
     */
    hasTrial(request: ServiceRequest): boolean {
        return this.#upstreams.some(upstream =>
            upstream.isReservedForLookups() && upstream.hasFreeSlot() && this.#isCandidate(upstream, request)
        );
    }

    /**
     * Whether any upstream may run a request, now or once it has a free slot.
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
                return this.#isWithheldTrialDue(upstream, request);
            case UpstreamState.Healthy:
            case UpstreamState.Suspected:
            case UpstreamState.Ramping:
            case UpstreamState.Ejected:
            case UpstreamState.Draining:
                return false;
        }
    }

    /** While others are in service, an upstream with a withheld ejection gets trials only, which show when it has recovered. */
    #isWithheldTrialDue(upstream: PooledUpstream, request: ServiceRequest): boolean {
        const gapMs = request.isIdempotent ? WITHHELD_LOOKUP_TRIAL_MS : WITHHELD_ORDER_TRIAL_MS;
        const isDue = upstream.getIdleTime() >= gapMs || upstream.isOrderTrialDue();
        return this.#policy === EjectionPolicy.Prompt && isDue && this.#isTrialRequest(upstream, request);
    }

    #isCandidate(upstream: PooledUpstream, request: ServiceRequest): boolean {
        const isTrial = upstream.getState() === UpstreamState.Probation;
        return !isExcluded(upstream, request) &&
            (upstream.isInService() || (isTrial && this.#isTrialRequest(upstream, request)));
    }

    /**
     * A retried request has failed once, so it is not sent as a trial, which may fail as well. An idempotent request is a trial if the
     * budget has a retry for it, or if the floor requires the trial, as a service may have idempotent requests only.
     */
    #isTrialRequest(upstream: PooledUpstream, request: ServiceRequest): boolean {
        if (request.sentBefore > 0) {
            return false;
        }
        return request.isIdempotent
            ? this.#policy !== EjectionPolicy.Prompt || this.#hasSpareRetry() || upstream.isFloorTrialDue()
            : this.#policy === EjectionPolicy.Prompt && !upstream.isReservedForLookups();
    }

    /** With the prompt policy, upstreams with a withheld ejection get no overflow: they fail requests faster than others serve them. */
    #getUsable(): readonly PooledUpstream[] {
        if (this.#policy !== EjectionPolicy.Prompt) {
            return this.#upstreams;
        }
        const isWithheld = (upstream: PooledUpstream): boolean =>
            upstream.getState() === UpstreamState.EjectionWithheld;
        const hasOthers = this.#upstreams.some(upstream => upstream.isInService() && !isWithheld(upstream));
        return hasOthers ? this.#upstreams.filter(upstream => !isWithheld(upstream)) : this.#upstreams;
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

/** Orders by load, then by the time of the last claim, oldest first. */
function compareLoad(left: PooledUpstream, right: PooledUpstream): number {
    const difference = getLoad(left) - getLoad(right);
    return difference !== 0 ? difference : left.getLastClaimTime() - right.getLastClaimTime();
}

function getLoad(upstream: PooledUpstream): number {
    const load = upstream.getRunning() / upstream.getLimit();
    return upstream.getState() === UpstreamState.EjectionWithheld ? load + WITHHELD_LOAD_PENALTY : load;
}
