import type { Upstream } from "../../configuration/index.js";
import { Decision } from "../../logging/index.js";
import type { DecisionLog } from "../../logging/index.js";
import type { UpstreamNotice } from "../exchange/UpstreamNotice.js";
import type { UpstreamNotices } from "./UpstreamNotices.js";

/** Records what upstreams say about themselves in responses to this host. */
export class NoticeRecorder {
    readonly #notices: UpstreamNotices;
    readonly #decisions: DecisionLog;

    /**
     * @param notices - Keeps what they say.
     * @param decisions - Records the changes of request rates.
     */
    constructor(notices: UpstreamNotices, decisions: DecisionLog) {
        this.#notices = notices;
        this.#decisions = decisions;
    }

    /**
     * Records what a response says. An upstream with a limit names it in its responses, but not each failure is written by the upstream
     * itself, so that only a success without the field ends the limit.
     * @param service - The service's name.
     * @param upstream - The upstream that responded.
     * @param notice - What it says.
     * @param isSuccess - Whether the response is a success.
     */
    record(service: string, upstream: Upstream, { requestRate, isLeaving }: UpstreamNotice, isSuccess: boolean): void {
        if (isLeaving) {
            this.#notices.recordLeaving(upstream);
        }
        if (requestRate === undefined || (requestRate === Infinity && !isSuccess)) {
            return;
        }
        if (this.#notices.recordRequestRate(upstream, requestRate)) {
            this.#decisions.record({
                decision: Decision.RequestRateNamed,
                reason: requestRate === Infinity ? "the limit has ended" : "the upstream names a limit",
                service,
                upstream: upstream.name,
                figures: requestRate === Infinity ? {} : { requestsPerSecond: requestRate },
            });
        }
    }
}
