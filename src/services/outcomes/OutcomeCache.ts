import { OutcomeKind } from "../../outcomes/index.js";
import type { Clock } from "../../time/index.js";
import type { FindOutcomeParams } from "../sharing/FindOutcomeParams.js";
import type { FindOutcomeResult } from "../sharing/FindOutcomeResult.js";
import type { EncodedOutcome } from "./EncodedOutcome.js";
import { RequestState } from "./RequestState.js";

const MAX_RECORDS = 20_000;
const MAX_BODY_CHARACTERS = 32 * 1024 * 1024;

interface OutcomeEntry {
    /** When the entry was last recorded, in milliseconds of the clock. */
    readonly time: number;
    found: FindOutcomeResult;
}

/** Caches the states and outcomes of a service host's recent requests that are not idempotent, by request id. */
export class OutcomeCache {
    readonly #clock: Clock;
    readonly #entries = new Map<string, OutcomeEntry>();
    /** Every request that was recorded after this time is cached, in milliseconds of the clock. */
    #completeSince: number;
    #bodyCharacters = 0;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#completeSince = clock.getTime();
    }

    /** Gets the number of cached requests. */
    getSize(): number {
        return this.#entries.size;
    }

    /**
     * Finds the state of a request.
     * @param requestId - The id of the request.
     */
    find(requestId: string): FindOutcomeResult | undefined {
        return this.#entries.get(requestId)?.found;
    }

    /**
     * Records that a request has been accepted, before it can run.
     * @param requestId - The id of the request.
     */
    recordStart(requestId: string): void {
        this.#record(requestId, { state: RequestState.Running });
    }

    /**
     * Records the outcome of a request.
     * @param requestId - The id of the request.
     * @param outcome - The outcome.
     * @param upstream - The name of the upstream that ran it, if any.
     */
    recordEnd(requestId: string, outcome: EncodedOutcome, upstream: string | undefined): void {
        this.#record(requestId, { state: RequestState.Finished, outcome, upstream });
    }

    /**
     * Finds the state of a request for an account host; marks one that was never seen, so that it is refused if it arrives later.
     * @param params - The id of the request and its maximum age.
     */
    findOrRefuse(params: FindOutcomeParams): FindOutcomeResult {
        const found = this.find(params.requestId);
        if (found !== undefined) {
            return found;
        }
        const isCovered = this.#clock.getTime() - params.maxAgeMs > this.#completeSince;
        if (!isCovered) {
            return { state: RequestState.Forgotten };
        }
        this.#record(params.requestId, { state: RequestState.NeverSeen });
        return { state: RequestState.NeverSeen };
    }

    #record(requestId: string, found: FindOutcomeResult): void {
        const previous = this.#entries.get(requestId);
        this.#entries.delete(requestId);
        this.#bodyCharacters += getBodyLength(found) - (previous === undefined ? 0 : getBodyLength(previous.found));
        this.#entries.set(requestId, { time: this.#clock.getTime(), found });
        while (this.#entries.size > MAX_RECORDS || this.#bodyCharacters > MAX_BODY_CHARACTERS) {
            this.#removeOldest();
        }
    }

    #removeOldest(): void {
        const [requestId, entry] = this.#entries.entries().next().value!;
        this.#entries.delete(requestId);
        this.#bodyCharacters -= getBodyLength(entry.found);
        this.#completeSince = Math.max(this.#completeSince, entry.time);
    }
}

function getBodyLength(found: FindOutcomeResult): number {
    return found.state === RequestState.Finished && found.outcome.kind === OutcomeKind.Done
        ? found.outcome.body?.length ?? 0
        : 0;
}
