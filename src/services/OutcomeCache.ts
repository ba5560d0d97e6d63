import { OutcomeKind } from "../outcomes/index.js";
import type { Clock } from "../time/index.js";
import type { EncodedOutcome } from "./EncodedOutcome.js";
import type { FindOutcomeParams } from "./FindOutcomeParams.js";
import type { FindOutcomeResult } from "./FindOutcomeResult.js";
import { RequestState } from "./RequestState.js";

const MAX_RECORDS = 20_000;
const MAX_BODY_CHARACTERS = 32 * 1024 * 1024;

interface OutcomeEntry {
    /** When it was recorded last, in milliseconds. */
    readonly time: number;
    found: FindOutcomeResult;
}

/** The recent requests of a service host that are not idempotent, by request id. */
export class OutcomeCache {
    readonly #clock: Clock;
    readonly #entries = new Map<string, OutcomeEntry>();
    #completeSince: number;
    #bodyCharacters = 0;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#completeSince = clock.getTime();
    }

    /** Gets the number of requests that are remembered. */
    getSize(): number {
        return this.#entries.size;
    }

    /**
     * Finds what is known of a request.
     * @param requestId - The request.
     */
    find(requestId: string): FindOutcomeResult | undefined {
        return this.#entries.get(requestId)?.found;
    }

    /**
     * Records that a request has been taken in, before it can run.
     * @param requestId - The request.
     */
    recordStart(requestId: string): void {
        this.#record(requestId, { state: RequestState.Running });
    }

    /**
     * Records how a request ended.
     * @param requestId - The request.
     * @param outcome - Its outcome.
     * @param upstream - Where it ran, if anywhere.
     */
    recordEnd(requestId: string, outcome: EncodedOutcome, upstream: string | undefined): void {
        this.#record(requestId, { state: RequestState.Finished, outcome, upstream });
    }

    /**
     * Answers an account host; a request that was never seen is refused from then on.
     * @param params - The request and its greatest age.
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
